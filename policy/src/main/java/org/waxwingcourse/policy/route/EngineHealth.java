package org.waxwingcourse.policy.route;

import java.time.Duration;
import java.time.InstantSource;
import org.waxwingcourse.model.time.Deadline;

/**
 * Outlier ejection for one engine. Consecutive failures eject the engine for a time that doubles
 * with each ejection; then one request tries the engine, and its success reinstates the engine. An
 * unresponsive connection does not count as a failure of the engine: the owner probes the engine on
 * a new connection and reports only the result of the probe.
 *
 * <p>Thread-safe.
 */
public final class EngineHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final int MAX_DOUBLINGS = 5;
  private static final Duration FIRST_EJECTION_TIME = Duration.ofSeconds(1);

  private final InstantSource clock;
  private int consecutiveFailures;
  private int consecutiveEjections;
  private Deadline ejectedUntil;

  private EngineHealth(InstantSource clock) {
    this.clock = clock;
    this.ejectedUntil = Deadline.at(clock.instant());
  }

  /** Returns the health of an engine without recorded failures. */
  public static EngineHealth of(InstantSource clock) {
    return new EngineHealth(clock);
  }

  /** Records that the engine responded. */
  public synchronized void succeeded() {
    consecutiveFailures = 0;
    consecutiveEjections = 0;
  }

  /** Records a failure of the engine or of a probe on a new connection. */
  public synchronized void failed() {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_TO_EJECT && takesWork()) {
      Duration ejectionTime =
          FIRST_EJECTION_TIME.multipliedBy(1L << Math.min(consecutiveEjections, MAX_DOUBLINGS));
      ejectedUntil = Deadline.after(clock, ejectionTime);
      consecutiveEjections++;
    }
  }

  /** Returns whether the engine may receive new work. */
  public synchronized boolean takesWork() {
    return ejectedUntil.isPast(clock.instant());
  }

  /** Returns when the engine may receive work again. */
  public synchronized Deadline ejectedUntil() {
    return ejectedUntil;
  }
}
