package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.time.Deadline;

/**
 * What the runs on an engine have shown of it. An engine that fails is ejected for a time that
 * doubles with each failure; afterwards a single run probes it until one succeeds. A run that
 * merely broke off counts once, since engines lose single answers while they are sound.
 *
 * <p>Not safe for use by several threads; the scheduler that holds it has the lock.
 */
final class EngineCondition {
  /** First ejection; about the time in which a crashed engine is replaced or noticed elsewhere. */
  private static final Duration FIRST_EJECTION = Duration.ofMillis(300);

  private static final int MAX_DOUBLINGS = 3;
  private static final int FAILURES_TO_EJECT = 2;

  /** Failures within this time have one cause: the runs of an engine break together. */
  private static final Duration SAME_CAUSE = Duration.ofMillis(120);

  /** How long an engine that calls itself full gets nothing; a few of its steps. */
  private static final Duration FULL_PAUSE = Duration.ofMillis(60);

  /** Weight of the newest run in the mean speed. */
  private static final double SPEED_WEIGHT = 0.3;

  private int failures;
  private Deadline ejectedUntil = Deadline.at(Instant.MIN);
  private Instant lastFailure = Instant.MIN;
  private double gapMillis;

  void ended(RunEnd end, Instant now) {
    switch (end.how()) {
      case WHOLE, CANCELLED -> answered(end);
      case ENGINE_FULL -> ejectedUntil = later(Deadline.at(now.plus(FULL_PAUSE)));
      case ENGINE_LOST -> failed(now, end.firstEvent().isZero());
      case ENGINE_WRONG -> ejectedUntil = Deadline.at(now.plus(Duration.ofSeconds(30)));
      default -> answered(end);
    }
  }

  /** A run has had no byte for longer than a sound engine takes. */
  void silent(Instant now) {
    failed(now, true);
  }

  private void answered(RunEnd end) {
    if (!end.firstEvent().isZero()) {
      failures = 0;
    }
    double millis = end.gap().toNanos() / 1e6;
    if (millis > 0) {
      gapMillis = gapMillis == 0 ? millis : gapMillis + SPEED_WEIGHT * (millis - gapMillis);
    }
  }

  private void failed(Instant now, boolean withoutAnswer) {
    if (now.isBefore(lastFailure.plus(SAME_CAUSE))) {
      return;
    }
    lastFailure = now;
    failures++;
    if (withoutAnswer || failures >= FAILURES_TO_EJECT) {
      int doublings = Math.min(Math.max(0, failures - 1), MAX_DOUBLINGS);
      ejectedUntil = later(Deadline.at(now.plus(FIRST_EJECTION.multipliedBy(1L << doublings))));
    }
  }

  private Deadline later(Deadline other) {
    return ejectedUntil.compareTo(other) >= 0 ? ejectedUntil : other;
  }

  boolean isEjected(Instant now) {
    return !ejectedUntil.isPast(now);
  }

  /** Tells whether the engine has yet to show that it works again. */
  boolean isOnProbe() {
    return failures >= FAILURES_TO_EJECT;
  }

  Deadline ejectedUntil() {
    return ejectedUntil;
  }

  /** Returns the mean time between events, milliseconds; zero before the first. */
  double gapMillis() {
    return gapMillis;
  }
}
