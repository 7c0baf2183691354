package org.waxwingcourse.standin.store;

/**
 * Numbers of calls that a store has received, including rejected ones.
 *
 * @param reads range reads
 * @param writes transactions
 * @param leases lease grants, renewals and revocations
 * @param watches opened watches
 */
public record CallCounts(long reads, long writes, long leases, long watches) {
  /** Returns the number of calls of all kinds. */
  public long total() {
    return reads + writes + leases + watches;
  }
}
