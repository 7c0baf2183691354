package org.waxwingcourse.fleet.view;

import java.time.Instant;

/**
 * Assigns positions to the requests that hosts send to engines: a hybrid logical clock. A position
 * is close to the wall clock in milliseconds, and later than all that this host has learned of, so
 * that what follows from an answer counts as later than the answer although clocks differ.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the directory that owns it.
 */
final class SendOrder {
  private long last;

  /** Returns the position of a request that is sent now. */
  long next(Instant wall) {
    last = Math.max(last + 1, wall.toEpochMilli());
    return last;
  }

  /** Records a position that another host has assigned. */
  void record(long position) {
    last = Math.max(last, position);
  }
}
