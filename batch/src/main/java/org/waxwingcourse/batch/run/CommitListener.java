package org.waxwingcourse.batch.run;

import org.waxwingcourse.model.id.OrganisationId;

/** Hears of each chunk whose results this host committed. */
@FunctionalInterface
public interface CommitListener {
  /**
   * A chunk's results are durable.
   *
   * @param organisation whose job
   * @param inTime items that ended before the job's deadline
   * @param items all items of the chunk
   */
  void onCommitted(OrganisationId organisation, int inTime, int items);
}
