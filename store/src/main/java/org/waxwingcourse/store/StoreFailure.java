package org.waxwingcourse.store;

/**
 * A read or lease call that gave no answer.
 *
 * @param kind what kind of failure
 * @param message what was seen
 */
public record StoreFailure(Kind kind, String message) {
  /** The kinds of failure. */
  public enum Kind {
    /** No connection, or no answer within the call's deadline. */
    UNREACHABLE,
    /** The store refused the call for its rate. */
    RATE_LIMITED,
    /** The store refused the call as it stands: a value too large, too many operations. */
    REFUSED,
    /** The lease is not known to the store. */
    LEASE_GONE,
    /** The store answered something that cannot be read. */
    MALFORMED
  }
}
