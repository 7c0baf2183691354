package org.waxwingcourse.standin.store;

/**
 * How many calls a store has got, the refused ones included.
 *
 * @param reads range reads
 * @param writes transactions
 * @param leases grants, renewals and revocations
 * @param watches watches opened
 */
public record CallCounts(long reads, long writes, long leases, long watches) {
  /** Returns the sum over all kinds. */
  public long total() {
    return reads + writes + leases + watches;
  }
}
