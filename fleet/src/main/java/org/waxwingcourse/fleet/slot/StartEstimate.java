package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Estimates when waiting online requests can start. Slots become free after the mean run time,
 * counted from the starts of the present runs, since runs that started together end together. On an
 * engine with a limit, requests start as its limit allows, in slots that are free or that batch
 * runs yield, and then as slots become free.
 */
final class StartEstimate {
  private final Duration run;
  private final Instant now;

  /** Ends of the online runs on engines without a limit. */
  private final List<Instant> ends = new ArrayList<>();

  /** The next start on each engine with a limit. */
  private final PriorityQueue<LimitedStart> limitedStarts =
      new PriorityQueue<>(Comparator.comparing(LimitedStart::at));

  /**
   * Creates an estimate without engines.
   *
   * @param run mean time of an online run
   */
  StartEstimate(Duration run, Instant now) {
    this.run = run;
    this.now = now;
  }

  /** The start with the given number on an engine, counted from one. */
  private record LimitedStart(EngineSlots engine, List<Instant> ends, int number, Instant at) {}

  void add(EngineSlots engine) {
    List<Instant> engineEnds = engine.onlineRunEnds(run, now);
    if (engine.starts().isLimiting(now)) {
      limitedStarts.add(limitedStart(engine, engineEnds, 1));
    } else {
      ends.addAll(engineEnds);
    }
  }

  /** Returns when the given number of requests can have started. */
  Instant startTime(int count) {
    if (ends.isEmpty() && limitedStarts.isEmpty()) {
      return now.plus(run);
    }
    Collections.sort(ends);
    Instant last = now;
    int unlimited = 0;
    for (int started = 0; started < count; started++) {
      LimitedStart limited = limitedStarts.peek();
      if (limited == null || !ends.isEmpty() && !unlimitedStart(unlimited).isAfter(limited.at)) {
        last = unlimitedStart(unlimited++);
      } else {
        last = limited.at;
        limitedStarts.poll();
        limitedStarts.add(limitedStart(limited.engine, limited.ends, limited.number + 1));
      }
    }
    return last;
  }

  private Instant unlimitedStart(int index) {
    return freeAt(ends, index);
  }

  private LimitedStart limitedStart(EngineSlots engine, List<Instant> engineEnds, int number) {
    Instant allowed = engine.starts().startTime(number, now);
    int available = Math.max(0, engine.slots() - engineEnds.size());
    Instant free =
        number <= available || engineEnds.isEmpty()
            ? now
            : freeAt(engineEnds, number - available - 1);
    return new LimitedStart(engine, engineEnds, number, allowed.isAfter(free) ? allowed : free);
  }

  /** Returns when the slot with the given index becomes free, in rounds of all slots. */
  private Instant freeAt(List<Instant> slotEnds, int index) {
    return slotEnds.get(index % slotEnds.size()).plus(run.multipliedBy(index / slotEnds.size()));
  }
}
