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
 * The planned stop of a host, as a state machine that moves by deadlines.
 *
 * <p>Serving: everything as usual. Leaving: the other hosts are told, batch claims are refused,
 * callers that hold an answer with this host are served; once every host knows, the last answer
 * lapses after its validity; where no other host serves there is nothing to wait for. Draining: new
 * requests are refused as not run, streams finish, shares are given back. Stopped: nothing is
 * underway, or the drain limit has passed. A kill at any moment is a crash like any other, since no
 * phase leaves anything that only a later phase would mend.
 */
public final class PlannedStop {
  /** How far the stop has come. */
  public enum Phase {
    /** No stop has begun. */
    SERVING,
    /** Announced; answers that name this host may still hold. */
    LEAVING,
    /** No answer names this host any more; requests underway finish. */
    DRAINING,
    /** The process may end. */
    STOPPED
  }

  /** What a stop does to the membership of this host. */
  public interface Departure {
    /** Announces that this host leaves. */
    void leave();

    /** Tells whether every other host knows. */
    boolean leaveKnown();

    /** Tells whether callers have another host to go to. */
    boolean othersServe();

    /** Says that this host is gone. */
    void left();
  }

  private static final EventLog LOG = EventLog.of(PlannedStop.class);

  private final Departure departure;
  private final StopSettings settings;
  private final InstantSource clock;
  private final List<Runnable> onLeaving = new CopyOnWriteArrayList<>();
  private final List<Runnable> onDraining = new CopyOnWriteArrayList<>();
  private final List<IntSupplier> underway = new CopyOnWriteArrayList<>();
  private volatile Phase phase = Phase.SERVING;
  private Deadline phaseEnd;
  private boolean announced;

  private PlannedStop(Departure departure, StopSettings settings, InstantSource clock) {
    this.departure = departure;
    this.settings = settings;
    this.clock = clock;
  }

  /** Returns the stop of a host that serves. */
  public static PlannedStop of(Departure departure, StopSettings settings, InstantSource clock) {
    return new PlannedStop(departure, settings, clock);
  }

  /** Adds a step for the beginning, such as to refuse new batch claims. */
  public void onLeaving(Runnable hook) {
    onLeaving.add(hook);
  }

  /** Adds a step for the time when no caller is sent here any more, such as to give shares back. */
  public void onDraining(Runnable hook) {
    onDraining.add(hook);
  }

  /** Adds a count of requests that the stop waits for. */
  public void waitFor(IntSupplier requests) {
    underway.add(requests);
  }

  /** Returns how far the stop has come. */
  public Phase phase() {
    return phase;
  }

  /** Tells whether new requests are served. */
  public boolean takesRequests() {
    return phase == Phase.SERVING || phase == Phase.LEAVING;
  }

  /** Begins the stop; a second call changes nothing. */
  public synchronized void begin() {
    if (phase != Phase.SERVING) {
      return;
    }
    phaseEnd = Deadline.after(clock, settings.announceLimit());
    enter(Phase.LEAVING);
    departure.leave();
    run(onLeaving);
  }

  /** Takes the steps that are due. To be called several times a second. */
  public synchronized void tick() {
    Instant now = clock.instant();
    switch (phase) {
      case LEAVING -> leave(now);
      case DRAINING -> drain(now);
      default -> {}
    }
  }

  private void leave(Instant now) {
    if (!announced && (departure.leaveKnown() || phaseEnd.isPast(now))) {
      announced = true;
      phaseEnd = Deadline.at(now.plus(settings.answerValidity()).plus(settings.clockDrift()));
    }
    if (announced && (phaseEnd.isPast(now) || !departure.othersServe())) {
      phaseEnd = Deadline.at(now.plus(settings.drainLimit()));
      enter(Phase.DRAINING);
      run(onDraining);
    }
  }

  private void drain(Instant now) {
    int left = underway.stream().mapToInt(IntSupplier::getAsInt).sum();
    if (left > 0 && !phaseEnd.isPast(now)) {
      return;
    }
    if (left > 0) {
      LOG.write(Event.STOP_CUT, left);
    }
    departure.left();
    enter(Phase.STOPPED);
  }

  private void enter(Phase next) {
    phase = next;
    LOG.write(Event.STOP_PHASE, next);
  }

  private static void run(List<Runnable> hooks) {
    for (Runnable hook : hooks) {
      try {
        hook.run();
      } catch (RuntimeException e) {
        LOG.write(Event.STOP_STEP_FAILED, e.toString());
      }
    }
  }
}
