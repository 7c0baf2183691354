package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.store.StoreFailure;

/**
 * Knows from the signs that the store answers, to this host or another, whether it has recovered
 * from its last outage. Entries may have expired in an outage because their owners could not renew
 * them; until the store has recovered such owners may write them again.
 *
 * <p>An outage is a time without any sign while this host runs; of the time for which it was
 * suspended it knows nothing. The end of the recovery is set once for each outage, by the first
 * sign after it.
 */
public final class StoreContact {
  private static final EventLog LOG = EventLog.of(StoreContact.class);

  /**
   * Longest time without a sign that is no outage. Each host renews its lease and hears of reads by
   * others about once a second, and entries of engines outlive a silence of this length.
   */
  static final Duration MAX_SILENCE = Duration.ofMillis(1500);

  /** A step between two moments at which this host ran that is longer shows a suspension. */
  private static final Duration MAX_STEP = Duration.ofSeconds(1);

  /** Time that the owners of expired entries need to write them again. */
  static final Duration REREGISTRATION_TIME = Duration.ofMillis(2300);

  private final Clocks clocks;
  private final List<Runnable> returnListeners = new CopyOnWriteArrayList<>();
  private ClockReading lastRun;
  private ClockReading lastSign;
  private ClockReading recoveredAt;
  private Duration silence = Duration.ZERO;
  private long outages;

  /** Creates a contact that counts its creation as a sign. */
  public StoreContact(Clocks clocks) {
    this.clocks = clocks;
    this.lastRun = clocks.now();
    this.lastSign = lastRun;
    this.recoveredAt = lastRun;
  }

  /** Records the outcome of a call to the store; an answer that refuses the call is a sign too. */
  public void recordOutcome(Either<StoreFailure, ?> outcome) {
    if (outcome.isRight() || outcome.getLeft().kind() != StoreFailure.Kind.UNREACHABLE) {
      recordSign();
    }
  }

  /** Adds a listener that is called with the first sign after each outage. */
  public void addReturnListener(Runnable listener) {
    returnListeners.add(listener);
  }

  /** Records that the store answers now. */
  public void recordSign() {
    Duration ended;
    synchronized (this) {
      recordRun();
      ended = silence;
      silence = Duration.ZERO;
      lastSign = lastRun;
      if (ended.compareTo(MAX_SILENCE) <= 0) {
        return;
      }
      outages++;
      recoveredAt = lastSign.plus(REREGISTRATION_TIME);
    }
    LOG.write(Event.STORE_RECOVERING, ended.toMillis(), REREGISTRATION_TIME.toMillis());
    returnListeners.forEach(Runnable::run);
  }

  /** Returns the number of outages that have ended. */
  public synchronized long outages() {
    return outages;
  }

  /**
   * Returns whether entries that are gone from the store may be written again: the store is out of
   * reach, or has not shown yet that it answers since the recovery was to end. Called at intervals
   * below {@link #MAX_STEP}, so that outages are noticed.
   */
  public synchronized boolean isRecovering() {
    recordRun();
    return !lastSign.hasReached(recoveredAt) || silence.compareTo(MAX_SILENCE) > 0;
  }

  /** Counts the time since the last call as silence if this host has run meanwhile. */
  private void recordRun() {
    ClockReading now = clocks.now();
    Duration step = now.elapsedSince(lastRun);
    if (step.compareTo(MAX_STEP) <= 0) {
      silence = silence.plus(step);
    }
    lastRun = now;
  }
}
