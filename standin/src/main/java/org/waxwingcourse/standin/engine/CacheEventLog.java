package org.waxwingcourse.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The last cache events, published late and with gaps. */
final class CacheEventLog {
  private static final int MAX_EVENTS = 10_000;

  private record Timed(Instant at, CacheEvent event) {}

  private final InstantSource clock;
  private final Duration lag;
  private final int gap;
  private final Deque<Timed> events = new ArrayDeque<>();

  CacheEventLog(InstantSource clock, Duration lag, int gap) {
    this.clock = clock;
    this.lag = lag;
    this.gap = gap;
  }

  synchronized void add(CacheEvent event) {
    if (gap > 0 && event.number() % gap == 0) {
      return;
    }
    events.addLast(new Timed(clock.instant(), event));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  synchronized List<CacheEvent> after(long number) {
    Instant newest = clock.instant().minus(lag);
    return events.stream()
        .filter(timed -> timed.event().number() > number && !timed.at().isAfter(newest))
        .map(Timed::event)
        .toList();
  }
}
