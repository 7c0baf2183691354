package org.waxwingcourse.fleet.slot;

import java.time.Duration;

/**
 * The outcome of a run and the speed of its engine.
 *
 * @param how the outcome
 * @param firstEventDelay time from sending the request to the first event, zero without one
 * @param meanGap mean time between events, zero with fewer than two events
 * @param events of a completed batch request: the events of its result, earlier runs included
 */
public record RunEnd(How how, Duration firstEventDelay, Duration meanGap, int events) {
  /**
   * Outcomes of a run, as far as they say something about its engine. The names equal those of
   * {@code SlotEnd.How} in fleet.proto, except for {@link #CONNECTION_REFUSED}, {@link
   * #ENGINE_BROKE_OFF} and {@link #NOT_SENT}.
   */
  public enum How {
    /** The complete answer was received. */
    WHOLE,
    /** This host cancelled the run. */
    CANCELLED,
    /** This host gave the slot back without sending the request. */
    NOT_SENT,
    /** The engine reported that it is full and did not run the request. */
    ENGINE_FULL,
    /** The engine's machine refused the connection; nothing was sent. */
    CONNECTION_REFUSED,
    /** The engine could not be reached or stopped sending. */
    ENGINE_LOST,
    /** The engine closed the connection before the answer was complete, as when it crashes. */
    ENGINE_BROKE_OFF,
    /** The engine answered with an error of its own. */
    ENGINE_FAILED,
    /** Another engine listens on the address. */
    ENGINE_WRONG
  }

  /** Returns whether the run received an event. */
  public boolean hasEvent() {
    return !firstEventDelay.isZero();
  }

  /** Returns whether the engine answered in full, be it with an error of its own. */
  public boolean isAnswered() {
    return how == How.WHOLE || how == How.ENGINE_FAILED;
  }

  /** Returns whether the run lost its engine. */
  public boolean lostEngine() {
    return how == How.ENGINE_LOST || how == How.ENGINE_BROKE_OFF || how == How.CONNECTION_REFUSED;
  }

  /** Returns an outcome without times. */
  public static RunEnd of(How how) {
    return new RunEnd(how, Duration.ZERO, Duration.ZERO, 0);
  }
}
