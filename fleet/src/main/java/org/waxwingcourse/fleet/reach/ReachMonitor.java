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

  /**
   * Number of engines that are tried in a check. With a third of the engines lost, one check in
   * seven hundred takes that for a cut, until the next one.
   */
  private static final int CHECKED_ENGINES = 6;

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

  Instant now() {
    return clock.instant();
  }

  /**
   * Returns whether a connection that was begun at {@code begunAt} and failed shows that this host
   * reaches no engine; checks that if it is not known.
   */
  public CompletableFuture<Boolean> confirmOutOfReach(Instant begunAt) {
    if (reach.isKnownSince(begunAt)) {
      return CompletableFuture.completedFuture(reach.isOutOfReach());
    }
    // A check that is running may have reached an engine before the connection failed.
    return check()
        .thenCompose(
            out -> reach.isKnownSince(begunAt) ? CompletableFuture.completedFuture(out) : check());
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
    CompletableFuture<Boolean> started;
    synchronized (this) {
      if (running != null) {
        return running;
      }
      started = new CompletableFuture<>();
      running = started;
    }
    Instant begunAt = clock.instant();
    List<EngineEntry> checked = chooseEngines();
    AtomicInteger unreached = new AtomicInteger();
    if (checked.isEmpty()) {
      complete(started, false, false);
    }
    for (EngineEntry engine : checked) {
      calls
          .canConnect(engine)
          .whenComplete(
              (connected, error) -> {
                if (error == null && connected) {
                  complete(started, false, reach.recordReached(begunAt));
                } else if (unreached.incrementAndGet() == checked.size()) {
                  complete(started, true, reach.recordUnreached(clock.instant()));
                }
              });
    }
    return started;
  }

  private void complete(CompletableFuture<Boolean> started, boolean outOfReach, boolean changed) {
    synchronized (this) {
      running = running == started ? null : running;
    }
    if (changed) {
      LOG.write(outOfReach ? Event.ENGINES_OUT_OF_REACH : Event.ENGINES_REACHED);
      onChange.run();
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
