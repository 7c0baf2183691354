package org.waxwingcourse.store;

/**
 * Identifies a lease of the store.
 *
 * @param value the store's number for the lease, zero for none
 */
public record LeaseId(long value) {
  /** The absence of a lease. */
  public static final LeaseId NONE = new LeaseId(0);

  /** Returns the id with the given number. */
  public static LeaseId of(long value) {
    return new LeaseId(value);
  }

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof LeaseId that && value == that.value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
