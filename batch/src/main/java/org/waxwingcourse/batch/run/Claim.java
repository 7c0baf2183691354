package org.waxwingcourse.batch.run;

import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.model.id.FencingNumber;
import org.waxwingcourse.model.id.Revision;

/**
 * A claim of this host on a chunk.
 *
 * @param job the job at the time of the claim
 * @param chunk the number of the chunk
 * @param revision the store's revision of the claim, whose number is the fencing number
 * @param term the lease that the claim is attached to
 */
record Claim(StoredJob job, int chunk, Revision revision, LeaseTerm term) {
  /**
   * Returns the fencing number. It increases with each new owner because the store's revisions
   * increase.
   */
  FencingNumber fencingNumber() {
    return FencingNumber.of(revision.value());
  }

  String stateKey() {
    return Keys.chunkState(job.job().id(), chunk);
  }

  String jobKey() {
    return Keys.liveJob(job.job().id());
  }
}
