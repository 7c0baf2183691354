package org.waxwingcourse.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Retains the latest cache events and publishes them with a lag and with lost events. */
final class CacheEventLog {
  private static final int MAX_EVENTS = 10_000;

  private record TimedEvent(Instant at, CacheEvent event) {}

  private final InstantSource clock;
  private final Duration lag;
  private final int lossInterval;
  private final Deque<TimedEvent> events = new ArrayDeque<>();

  CacheEventLog(InstantSource clock, Duration lag, int lossInterval) {
    this.clock = clock;
    this.lag = lag;
    this.lossInterval = lossInterval;
  }

  synchronized void add(CacheEvent event) {
    if (lossInterval > 0 && event.number() % lossInterval == 0) {
      return;
    }
    events.addLast(new TimedEvent(clock.instant(), event));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  synchronized List<CacheEvent> eventsAfter(long number) {
    Instant latestVisible = clock.instant().minus(lag);
    return events.stream()
        .filter(timed -> timed.event().number() > number && !timed.at().isAfter(latestVisible))
        .map(TimedEvent::event)
        .toList();
  }
}
