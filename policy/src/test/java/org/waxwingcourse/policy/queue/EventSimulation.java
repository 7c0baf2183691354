package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.waxwingcourse.model.time.ManualClock;

/** Discrete-event simulation over a manual clock. */
final class EventSimulation {
  private final ManualClock clock = ManualClock.at(Instant.EPOCH);
  private final PriorityQueue<Scheduled> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Scheduled::millis).thenComparingLong(Scheduled::sequence));
  private double now;
  private long sequence;

  ManualClock clock() {
    return clock;
  }

  double nowMillis() {
    return now;
  }

  void schedule(double millis, Runnable task) {
    events.add(new Scheduled(now + millis, sequence++, task));
  }

  void runUntil(double millis) {
    while (!events.isEmpty() && events.peek().millis() <= millis) {
      Scheduled next = events.poll();
      clock.advance(Duration.ofNanos((long) ((next.millis() - now) * 1e6)));
      now = next.millis();
      next.task().run();
    }
  }

  private record Scheduled(double millis, long sequence, Runnable task) {}
}
