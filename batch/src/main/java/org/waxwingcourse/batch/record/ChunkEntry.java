package org.waxwingcourse.batch.record;

import org.waxwingcourse.model.id.HostId;

/**
 * The stored state of a chunk. A chunk without an entry is free. The entry of a claim is attached
 * to its host's lease and is deleted with it; the commit replaces it by a permanent entry.
 *
 * @param host the host that claimed or committed the chunk
 * @param operation unique id of the write that created this version
 * @param committed whether the results are stored
 * @param counts the number of items with results
 * @param expired whether items failed because the deadline passed
 */
public record ChunkEntry(
    HostId host, String operation, boolean committed, Job.Counts counts, boolean expired) {
  /** Returns the entry of a claimed chunk. */
  public static ChunkEntry claim(HostId host, String operation) {
    return new ChunkEntry(host, operation, false, Job.Counts.NONE, false);
  }
}
