package org.waxwingcourse.batch.run;

import org.waxwingcourse.model.id.OrganisationId;

/** Receives each chunk whose results this host committed. */
@FunctionalInterface
public interface CommitListener {
  /**
   * Called when a chunk's results are committed.
   *
   * @param organisation the organisation that owns the job
   * @param inTime the number of items that ended before the job's deadline
   * @param items the number of items of the chunk
   */
  void onCommitted(OrganisationId organisation, int inTime, int items);
}
