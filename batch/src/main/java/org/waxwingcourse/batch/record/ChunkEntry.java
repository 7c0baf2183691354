package org.waxwingcourse.batch.record;

import org.waxwingcourse.model.id.HostId;

/**
 * The state of a chunk as stored; a chunk without an entry is free. A claim hangs on its host's
 * lease and so vanishes with it; the commit puts the final entry in its place.
 *
 * @param host who claimed or committed it
 * @param operation marks the write that made this version
 * @param committed whether the results are stored
 * @param counts items with results
 * @param expired whether items ended because the deadline passed
 */
public record ChunkEntry(
    HostId host, String operation, boolean committed, Job.Counts counts, boolean expired) {
  /** Returns a claim. */
  public static ChunkEntry claim(HostId host, String operation) {
    return new ChunkEntry(host, operation, false, Job.Counts.NONE, false);
  }
}
