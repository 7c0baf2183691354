package org.waxwingcourse.fleet.reach;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;

/**
 * Checks whether this host reaches engines by opening connections to a few of them, after a
 * connection has failed and at intervals while none is reached.
 *
 * <p>Safe for use by several threads.
 */
public final class ReachMonitor {
  private static final EventLog LOG = EventLog.of(ReachMonitor.class);

  /** Number of engines that are tried in a check; the loss of some engines rarely takes all. */
  private static final int CHECKED_ENGINES = 3;

  private final EngineSender calls;
  private final Supplier<Collection<EngineEntry>> engines;
  private final InstantSource clock;
  private final EngineReach reach = new EngineReach();
  private volatile Runnable onChange = () -> {};
  private CompletableFuture<Boolean> running;

  /** Creates a monitor that takes the engines for reachable until a check has failed. */
  public ReachMonitor(
      EngineSender calls, Supplier<Collection<EngineEntry>> engines, InstantSource clock) {
    this.calls = calls;
    this.engines = engines;
    this.clock = clock;
  }

  /** Sets what is called after each change. */
  public void setChangeListener(Runnable listener) {
    onChange = listener;
  }

  /** Returns whether no connection to any engine can be opened, as far as is known. */
  public boolean isOutOfReach() {
    return reach.isOutOfReach();
  }

  /** Records that a connection to an engine was opened. */
  void recordConnected() {
    if (reach.recordConnected(clock.instant())) {
      LOG.write(Event.ENGINES_REACHED);
      onChange.run();
    }
  }

  Instant now() {
    return clock.instant();
  }

  /**
   * Returns whether a connection that was begun at {@code begunAt} and could not be opened shows
   * that this host reaches no engine; checks that if it is not known.
   */
  CompletableFuture<Boolean> confirmOutOfReach(Instant begunAt) {
    boolean isKnown = reach.isOutOfReach() || reach.hasConnectedAfter(begunAt);
    return isKnown ? CompletableFuture.completedFuture(reach.isOutOfReach()) : check();
  }

  /** Checks whether engines are reached, unless that was shown recently. */
  void checkIfUnknown() {
    if (reach.needsCheck(clock.instant())) {
      check();
    }
  }

  /** Repeats the check if no engine was reached. Called several times a second. */
  public void recheck() {
    if (reach.needsRecheck(clock.instant())) {
      check();
    }
  }

  /** Starts a check, or returns the one that is running; its result is whether none is reached. */
  private CompletableFuture<Boolean> check() {
    List<EngineEntry> checked = chooseEngines();
    CompletableFuture<Boolean> started;
    synchronized (this) {
      if (running != null) {
        return running;
      }
      started = new CompletableFuture<>();
      running = started;
    }
    AtomicInteger unreached = new AtomicInteger();
    if (checked.isEmpty()) {
      complete(started, false);
    }
    for (EngineEntry engine : checked) {
      calls
          .canConnect(engine)
          .thenAccept(connected -> onTried(connected, unreached, checked, started));
    }
    return started;
  }

  private void onTried(
      boolean connected,
      AtomicInteger unreached,
      List<EngineEntry> checked,
      CompletableFuture<Boolean> started) {
    if (connected) {
      recordConnected();
      complete(started, false);
    } else if (unreached.incrementAndGet() == checked.size()) {
      if (reach.recordUnreached(clock.instant())) {
        LOG.write(Event.ENGINES_OUT_OF_REACH, checked.stream().map(EngineEntry::id).toList());
        onChange.run();
      }
      complete(started, true);
    }
  }

  private void complete(CompletableFuture<Boolean> started, boolean outOfReach) {
    synchronized (this) {
      running = running == started ? null : running;
    }
    started.complete(outOfReach);
  }

  private List<EngineEntry> chooseEngines() {
    List<EngineEntry> all = new ArrayList<>(engines.get());
    all.removeIf(EngineEntry::leaving);
    Collections.shuffle(all);
    return all.subList(0, Math.min(CHECKED_ENGINES, all.size()));
  }
}
