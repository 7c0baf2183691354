package org.waxwingcourse.batch.run;

import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.model.id.FencingNumber;
import org.waxwingcourse.model.id.Revision;

/**
 * A chunk that this host claimed.
 *
 * @param job the job as it stood when the claim was made
 * @param chunk the chunk
 * @param revision the store's revision that made the claim; its number is the fencing number
 * @param term the lease that the claim hangs on
 */
record Claim(StoredJob job, int chunk, Revision revision, LeaseTerm term) {
  /** Returns the fencing number: the revisions of the store rise with each new owner. */
  FencingNumber fencing() {
    return FencingNumber.of(revision.value());
  }

  String stateKey() {
    return Keys.chunk(job.job().id(), chunk);
  }

  String jobKey() {
    return Keys.live(job.job().id());
  }
}
