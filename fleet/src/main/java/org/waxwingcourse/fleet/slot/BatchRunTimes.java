package org.waxwingcourse.fleet.slot;

import java.time.Duration;

/**
 * Estimates how long items run, from moving averages over the completed items. An item that is
 * started too late to be done in time takes the slot of one that could be; therefore an item's
 * latest start is its due time less the run time that it still needs.
 *
 * <p>Safe for use by several threads.
 */
public final class BatchRunTimes {
  /** Weight of the newest item in both moving averages. */
  private static final double SMOOTHING = 0.1;

  private double meanEvents;
  private double meanGapMillis;

  /** Creates estimates that know no completed item. */
  public BatchRunTimes() {}

  /** Records a completed item: its number of events and the mean time between them. */
  public synchronized void recordCompleted(int events, Duration gap) {
    double millis = gap.toNanos() / 1e6;
    boolean first = meanEvents == 0;
    meanEvents = first ? events : meanEvents + SMOOTHING * (events - meanEvents);
    if (millis > 0) {
      meanGapMillis =
          meanGapMillis == 0 ? millis : meanGapMillis + SMOOTHING * (millis - meanGapMillis);
    }
  }

  /** Returns whether an item has been completed, so that estimates are not zero. */
  public synchronized boolean isKnown() {
    return meanEvents > 0 && meanGapMillis > 0;
  }

  /**
   * Returns the estimated remaining run time of an item that has produced {@code events} events;
   * zero before any item has been completed.
   */
  public synchronized Duration estimateRemaining(int events) {
    double missingEvents = Math.max(0, meanEvents - events);
    return Duration.ofNanos((long) (missingEvents * meanGapMillis * 1e6));
  }
}
