package org.waxwingcourse.policy.hosts;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntSupplier;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.time.Deadline;

/**
 * State machine of the planned stop of a host, driven by deadlines.
 *
 * <p>In phase {@code SERVING} the host operates normally. In phase {@code LEAVING} the other hosts
 * are notified, batch claims are refused, and callers that have a valid selection of hosts with
 * this host are still served. Once every host has been notified, the last such selection expires
 * after its validity; if no other host serves requests, there is nothing to wait for. In phase
 * {@code DRAINING} new requests are rejected as not run, streams finish, and shares are returned.
 * Phase {@code STOPPED} is reached when no request is in flight or when the drain limit has passed.
 * The process may be killed in any phase, because no phase leaves state behind that only a later
 * phase would repair.
 */
public final class PlannedStop {
  /** Phases of the stop. */
  public enum Phase {
    /** The stop has not begun. */
    SERVING,
    /**
     * The stop has been announced; selections of hosts that contain this host may still be valid.
     */
    LEAVING,
    /** No valid selection of hosts contains this host; requests in flight finish. */
    DRAINING,
    /** The process may exit. */
    STOPPED
  }

  /** The operations of a stop on the membership of this host. */
  public interface Departure {
    /** Announces that this host is leaving. */
    void leave();

    /** Returns whether every other host has been notified that this host is leaving. */
    boolean leaveKnown();

    /** Returns whether another host can serve callers. */
    boolean othersServe();

    /** Announces that this host has left. */
    void left();
  }

  private static final EventLog LOG = EventLog.of(PlannedStop.class);

  private final Departure departure;
  private final StopSettings settings;
  private final InstantSource clock;
  private final List<Runnable> onLeaving = new CopyOnWriteArrayList<>();
  private final List<Runnable> onDraining = new CopyOnWriteArrayList<>();
  private final List<IntSupplier> inFlightCounts = new CopyOnWriteArrayList<>();
  private volatile Phase phase = Phase.SERVING;
  private Deadline phaseDeadline;
  private boolean announcementDone;

  private PlannedStop(Departure departure, StopSettings settings, InstantSource clock) {
    this.departure = departure;
    this.settings = settings;
    this.clock = clock;
  }

  /** Returns the state machine of a host in phase {@code SERVING}. */
  public static PlannedStop of(Departure departure, StopSettings settings, InstantSource clock) {
    return new PlannedStop(departure, settings, clock);
  }

  /**
   * Registers an action that runs when phase {@code LEAVING} begins, such as refusing new batch
   * claims.
   */
  public void onLeaving(Runnable hook) {
    onLeaving.add(hook);
  }

  /** Registers an action that runs when phase {@code DRAINING} begins, such as returning shares. */
  public void onDraining(Runnable hook) {
    onDraining.add(hook);
  }

  /** Registers a count of requests in flight that the stop waits for. */
  public void waitFor(IntSupplier requests) {
    inFlightCounts.add(requests);
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns whether new requests are accepted. */
  public boolean takesRequests() {
    return phase == Phase.SERVING || phase == Phase.LEAVING;
  }

  /** Begins the stop; later calls have no effect. */
  public synchronized void begin() {
    if (phase != Phase.SERVING) {
      return;
    }
    phaseDeadline = Deadline.after(clock, settings.announceLimit());
    enterPhase(Phase.LEAVING);
    departure.leave();
    runHooks(onLeaving);
  }

  /** Moves to the next phase if that is due. Must be called several times per second. */
  public synchronized void tick() {
    Instant now = clock.instant();
    switch (phase) {
      case LEAVING -> tickLeaving(now);
      case DRAINING -> tickDraining(now);
      default -> {}
    }
  }

  private void tickLeaving(Instant now) {
    if (!announcementDone && (departure.leaveKnown() || phaseDeadline.isPast(now))) {
      announcementDone = true;
      phaseDeadline = Deadline.at(now.plus(settings.answerValidity()).plus(settings.clockDrift()));
    }
    if (announcementDone && (phaseDeadline.isPast(now) || !departure.othersServe())) {
      phaseDeadline = Deadline.at(now.plus(settings.drainLimit()));
      enterPhase(Phase.DRAINING);
      runHooks(onDraining);
    }
  }

  private void tickDraining(Instant now) {
    int inFlight = inFlightCounts.stream().mapToInt(IntSupplier::getAsInt).sum();
    if (inFlight > 0 && !phaseDeadline.isPast(now)) {
      return;
    }
    if (inFlight > 0) {
      LOG.write(Event.STOP_CUT, inFlight);
    }
    departure.left();
    enterPhase(Phase.STOPPED);
  }

  private void enterPhase(Phase next) {
    phase = next;
    LOG.write(Event.STOP_PHASE, next);
  }

  private static void runHooks(List<Runnable> hooks) {
    for (Runnable hook : hooks) {
      try {
        hook.run();
      } catch (RuntimeException e) {
        LOG.write(Event.STOP_STEP_FAILED, e.toString());
      }
    }
  }
}
