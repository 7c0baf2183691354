package org.waxwingcourse.fleet.slot;

import java.time.Instant;
import java.util.PriorityQueue;

/**
 * The times at which refused callers were told to come back. Each is told a time behind those who
 * were refused before it; otherwise all callers refused in a burst would come back together and
 * most of them would be refused again.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class ExpectedReturns {
  /** Maximum number of returns that are remembered. */
  private static final int MAX_RETURNS = 10_000;

  private final PriorityQueue<Instant> times = new PriorityQueue<>();

  void add(Instant time) {
    if (times.size() < MAX_RETURNS) {
      times.add(time);
    }
  }

  /** Returns how many refused callers are still to come back. */
  int count(Instant now) {
    while (!times.isEmpty() && !times.peek().isAfter(now)) {
      times.poll();
    }
    return times.size();
  }
}
