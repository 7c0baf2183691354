package org.waxwingcourse.policy.route;

import java.time.Duration;
import java.time.InstantSource;
import org.waxwingcourse.model.time.Deadline;

/**
 * Outlier ejection for one engine. Failures in a row eject it for a time that doubles with each
 * ejection; then one request tries it, and its success brings the engine back. A connection that
 * went silent is no evidence against the engine: the owner probes on a new connection and reports
 * only what that shows.
 *
 * <p>Safe for use by several threads.
 */
public final class EngineHealth {
  private static final int FAILURES_TO_EJECT = 3;
  private static final int MAX_DOUBLINGS = 5;
  private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

  private final InstantSource clock;
  private int failures;
  private int ejections;
  private Deadline ejectedUntil;

  private EngineHealth(InstantSource clock) {
    this.clock = clock;
    this.ejectedUntil = Deadline.at(clock.instant());
  }

  /** Returns the health of an engine that nothing is known against. */
  public static EngineHealth of(InstantSource clock) {
    return new EngineHealth(clock);
  }

  /** The engine answered. */
  public synchronized void succeeded() {
    failures = 0;
    ejections = 0;
  }

  /** The engine failed, or a probe on a new connection did. */
  public synchronized void failed() {
    failures++;
    if (failures >= FAILURES_TO_EJECT && takesWork()) {
      Duration time = FIRST_EJECTION.multipliedBy(1L << Math.min(ejections, MAX_DOUBLINGS));
      ejectedUntil = Deadline.after(clock, time);
      ejections++;
    }
  }

  /** Tells whether the engine gets new work. */
  public synchronized boolean takesWork() {
    return ejectedUntil.isPast(clock.instant());
  }

  /** Returns when the engine gets work again. */
  public synchronized Deadline ejectedUntil() {
    return ejectedUntil;
  }
}
