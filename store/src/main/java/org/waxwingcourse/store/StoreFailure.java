package org.waxwingcourse.store;

/**
 * Describes a call to the store that failed.
 *
 * @param kind the kind of failure
 * @param message a description for logs and callers
 */
public record StoreFailure(Kind kind, String message) {
  /** The kinds of failure. */
  public enum Kind {
    /** There was no connection, or no response within the call's deadline. */
    UNREACHABLE,
    /** The store rejected the call because a rate limit was exceeded. */
    RATE_LIMITED,
    /**
     * The store rejected the call itself, for example because of a value that is too large or too
     * many operations.
     */
    REFUSED,
    /** The store does not know the lease. */
    LEASE_GONE,
    /** The response cannot be parsed. */
    MALFORMED
  }
}
