package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.time.Deadline;

/**
 * Tracks the health of an engine from the outcome of its runs. An engine that fails is ejected for
 * a time that doubles with each failure; afterwards it gets a single probe run at a time until one
 * has received data. The failures count until one has succeeded. A run that broke off after its
 * first event counts as one failure and does not eject the engine by itself, since healthy engines
 * lose single answers. An engine that refuses connections is ejected by the first report, and gets
 * probe runs until one has been answered.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class EngineHealthTracker {
  /**
   * Duration of the first ejection; a crashed engine is replaced or noticed elsewhere in about this
   * time.
   */
  private static final Duration INITIAL_EJECTION = Duration.ofMillis(300);

  private static final int MAX_EJECTION_DOUBLINGS = 3;
  private static final int FAILURES_BEFORE_EJECTION = 2;

  /** Failures within this time count as one, since the runs of an engine break off together. */
  private static final Duration FAILURE_GROUPING_TIME = Duration.ofMillis(120);

  /** How long an engine that reports itself full gets no requests; a few engine steps. */
  private static final Duration FULL_ENGINE_PAUSE = Duration.ofMillis(60);

  /** Weight of the newest run in the moving average of the time between events. */
  private static final double GAP_SMOOTHING = 0.3;

  private int failures;
  private Deadline ejectedUntil = Deadline.at(Instant.MIN);
  private Instant lastFailureAt = Instant.MIN;

  /** Whether a run that started after the last failure has received data. */
  private boolean answeredSinceFailure;

  /** Refused connections of probe runs in a row, the one that ejected the engine included. */
  private int refusals;

  private Instant lastRefusalAt = Instant.MIN;
  private double meanGapMillis;

  /** Records the end of a run that started at {@code startedAt}. */
  void recordEnd(RunEnd end, Instant startedAt, Instant now) {
    if (end.isAnswered() || end.hasEvent() || end.how() == RunEnd.How.ENGINE_FULL) {
      recordAnswer(startedAt);
    }
    switch (end.how()) {
      case WHOLE, CANCELLED -> recordAnswer(end);
      case ENGINE_FULL -> ejectedUntil = latest(Deadline.at(now.plus(FULL_ENGINE_PAUSE)));
      case CONNECTION_REFUSED -> recordRefusal(startedAt, now);
      case ENGINE_LOST, ENGINE_BROKE_OFF -> recordFailure(now, end.firstEventDelay().isZero());
      case ENGINE_WRONG -> ejectedUntil = Deadline.at(now.plus(Duration.ofSeconds(30)));
      default -> recordAnswer(end);
    }
  }

  /** Records that a run received no byte for longer than a healthy engine takes. */
  void recordSilence(Instant now) {
    recordFailure(now, true);
  }

  /** Records that a run that started at {@code startedAt} has received data from the engine. */
  void recordAnswer(Instant startedAt) {
    // Data of a run from before the refusal does not show that the engine listens again.
    if (startedAt.isAfter(lastRefusalAt)) {
      refusals = 0;
    }
    answeredSinceFailure |= startedAt.isAfter(lastFailureAt);
  }

  /** Forgets failures that were reported by a host whose reports do not count. */
  void revokeFailuresSince(Instant since) {
    if (!lastFailureAt.isBefore(since)) {
      failures = 0;
      ejectedUntil = isRefusing() ? ejectedUntil : Deadline.at(Instant.MIN);
    }
  }

  /** Ends of runs that started before the engine was ejected tell nothing new. */
  private void recordRefusal(Instant startedAt, Instant now) {
    if (!startedAt.isAfter(lastRefusalAt)) {
      return;
    }
    lastRefusalAt = now;
    refusals++;
    int doublings = Math.min(refusals - 1, MAX_EJECTION_DOUBLINGS);
    ejectedUntil = latest(Deadline.at(now.plus(INITIAL_EJECTION.multipliedBy(1L << doublings))));
  }

  private void recordAnswer(RunEnd end) {
    if (!end.firstEventDelay().isZero()) {
      failures = 0;
    }
    double millis = end.meanGap().toNanos() / 1e6;
    if (millis > 0) {
      meanGapMillis =
          meanGapMillis == 0 ? millis : meanGapMillis + GAP_SMOOTHING * (millis - meanGapMillis);
    }
  }

  private void recordFailure(Instant now, boolean beforeFirstEvent) {
    if (now.isBefore(lastFailureAt.plus(FAILURE_GROUPING_TIME))) {
      return;
    }
    lastFailureAt = now;
    answeredSinceFailure = false;
    failures++;
    if (beforeFirstEvent || failures >= FAILURES_BEFORE_EJECTION) {
      int doublings = Math.min(Math.max(0, failures - 1), MAX_EJECTION_DOUBLINGS);
      ejectedUntil = latest(Deadline.at(now.plus(INITIAL_EJECTION.multipliedBy(1L << doublings))));
    }
  }

  private Deadline latest(Deadline other) {
    return ejectedUntil.compareTo(other) >= 0 ? ejectedUntil : other;
  }

  boolean isEjected(Instant now) {
    return !ejectedUntil.isPast(now);
  }

  /**
   * Returns whether the engine gets only probe runs because its last runs failed. Data of a probe
   * ends that, since the end of an item may be far off.
   */
  boolean isProbing() {
    return isRefusing() || failures >= FAILURES_BEFORE_EJECTION && !answeredSinceFailure;
  }

  /** Returns whether the engine has refused connections and not answered since. */
  boolean isRefusing() {
    return refusals > 0;
  }

  /**
   * Returns whether the engine may be tried although it is ejected, where most engines are. One
   * that refuses connections is tried at the shortest interval.
   */
  boolean mayTryEjected(Instant now) {
    return !isRefusing() || !now.isBefore(lastRefusalAt.plus(INITIAL_EJECTION));
  }

  Deadline ejectedUntil() {
    return ejectedUntil;
  }

  /** Returns the mean time between events in milliseconds; zero before the first measurement. */
  double meanGapMillis() {
    return meanGapMillis;
  }
}
