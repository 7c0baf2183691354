package org.waxwingcourse.fleet.job;

import java.time.Duration;

/**
 * How long items run, learnt from those that have been completed. An item that is started when it
 * can no longer be done in time takes the slot of one that can; so an item's latest start lies
 * before its due time by what it has yet to run.
 *
 * <p>Safe for use by several threads.
 */
final class RunTimes {
  /** Weight of the newest item in both means. */
  private static final double WEIGHT = 0.1;

  private double meanEvents;
  private double meanGapMillis;

  /** Takes in a completed item and the mean time between its events. */
  synchronized void completed(int events, Duration gap) {
    double millis = gap.toNanos() / 1e6;
    boolean first = meanEvents == 0;
    meanEvents = first ? events : meanEvents + WEIGHT * (events - meanEvents);
    if (millis > 0) {
      meanGapMillis =
          meanGapMillis == 0 ? millis : meanGapMillis + WEIGHT * (millis - meanGapMillis);
    }
  }

  /** Returns what an item with that many events has yet to run; zero before anything is known. */
  synchronized Duration left(int events) {
    double missing = Math.max(0, meanEvents - events);
    return Duration.ofNanos((long) (missing * meanGapMillis * 1e6));
  }
}
