package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreAnswers;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * Keeps the store view current while it is switched on: reads the configuration periodically, which
 * also proves that the configuration is the newest, and watches the entries of engines and hosts.
 * Only hosts that other hosts depend on follow the store; the others get the content from them.
 */
public final class StoreFollower {
  private static final EventLog LOG = EventLog.of(StoreFollower.class);

  /**
   * Delay between two reads of the configuration; a third of the time within which a change must
   * come into force.
   */
  private static final Duration CONFIGURATION_READ_DELAY = Duration.ofMillis(700);

  /**
   * Delay before a broken watch is reopened, so that a store that refuses watches is not flooded.
   * It doubles with each failure, since in an outage all hosts follow the store; the reads of the
   * configuration show when the store is back.
   */
  private static final Duration WATCH_RETRY_DELAY = Duration.ofMillis(300);

  /** Maximum number of times that the delay is doubled. */
  private static final int MAX_DOUBLINGS = 3;

  private final Store store;
  private final StoreView storeView;
  private final Clocks clocks;
  private final ScheduledExecutorService timer;
  private final KeyRange operators;
  private final String configurationKey;
  private final Consumer<Snapshot> ordersListener;
  private final WatchedRange engines;
  private final WatchedRange hosts;
  private ScheduledFuture<?> readSchedule;
  private boolean readInProgress;
  private boolean wasReachable;
  private boolean unreachable;

  /**
   * The keys that are followed.
   *
   * @param operators range of the keys that operators write
   * @param configurationKey key of the configuration, within that range
   * @param engines range of the keys of engine entries
   */
  public record Sources(KeyRange operators, String configurationKey, KeyRange engines) {}

  /**
   * Creates a follower. {@code ordersListener} is called after each read with all entries of
   * operators other than the configuration, before the configuration of that read is in force.
   */
  public StoreFollower(
      Store store,
      StoreView storeView,
      Clocks clocks,
      ScheduledExecutorService timer,
      Sources sources,
      Consumer<Snapshot> ordersListener) {
    this.store = store;
    this.storeView = storeView;
    this.clocks = clocks;
    this.timer = timer;
    this.operators = sources.operators();
    this.configurationKey = sources.configurationKey();
    this.ordersListener = ordersListener;
    this.engines = new WatchedRange(sources.engines(), storeView.engineTable());
    this.hosts = new WatchedRange(KeyRange.ofPrefix(StoreKeys.HOSTS_PREFIX), storeView.hostTable());
    storeView.contact().addReturnListener(this::scheduleRecoveryRead);
  }

  /** Switches following on or off. Does nothing if the state is the same already. */
  public synchronized void setFollowing(boolean on) {
    if (on == (readSchedule != null)) {
      return;
    }
    if (on) {
      readSchedule =
          timer.scheduleWithFixedDelay(
              this::readConfiguration,
              0,
              CONFIGURATION_READ_DELAY.toMillis(),
              TimeUnit.MILLISECONDS);
      engines.open();
      hosts.open();
    } else {
      readSchedule.cancel(false);
      readSchedule = null;
      engines.close();
      hosts.close();
    }
    LOG.write(on ? Event.STORE_FOLLOWED : Event.STORE_UNFOLLOWED);
  }

  /** Returns whether following is switched on. */
  public synchronized boolean isFollowing() {
    return readSchedule != null;
  }

  /**
   * Returns whether this host has read the engines itself since it began to follow the store, and
   * has watched them since. What it had from other hosts before may lack the latest engines.
   */
  public synchronized boolean isEngineListCurrent() {
    return readSchedule != null && engines.watch != null;
  }

  /** Starts one read of the configuration now, unless one is in progress. */
  public void readConfiguration() {
    synchronized (this) {
      if (readInProgress) {
        return;
      }
      readInProgress = true;
    }
    ClockReading sentAt = clocks.now();
    StoreAnswers.handle(
        store.read(operators),
        "a read of the configuration",
        answer -> onConfiguration(sentAt, answer),
        failure -> endRead());
  }

  private synchronized void endRead() {
    readInProgress = false;
  }

  /** Reads when the recovery is to end, since it takes a sign of the store to end it. */
  private void scheduleRecoveryRead() {
    timer.schedule(
        () -> {
          if (isFollowing()) {
            readConfiguration();
          }
        },
        StoreContact.REREGISTRATION_TIME.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void onConfiguration(ClockReading sentAt, Either<StoreFailure, Snapshot> answer) {
    boolean regained;
    storeView.contact().recordOutcome(answer);
    synchronized (this) {
      readInProgress = false;
      regained = answer.isRight() && unreachable;
      updateReachability(answer);
    }
    if (regained) {
      engines.reopenIfWaiting();
      hosts.reopenIfWaiting();
    }
    answer.forEach(
        snapshot -> {
          Map<Boolean, List<Entry>> byConfiguration =
              snapshot.entries().stream()
                  .collect(Collectors.partitioningBy(e -> e.key().equals(configurationKey)));
          ordersListener.accept(new Snapshot(snapshot.revision(), byConfiguration.get(false)));
          for (Entry e : byConfiguration.get(true)) {
            storeView.applyIfNewer(new StoreView.ConfigurationDocument(e.modified(), e.value()));
          }
          storeView.evidence().recordOwnRead(sentAt);
        });
  }

  private void updateReachability(Either<StoreFailure, Snapshot> answer) {
    if (answer.isRight() && unreachable) {
      LOG.write(Event.STORE_REGAINED);
    } else if (answer.isLeft() && !unreachable && wasReachable) {
      LOG.write(Event.STORE_LOST, answer.getLeft().message());
    }
    wasReachable |= answer.isRight();
    unreachable = answer.isLeft();
  }

  /** A key range that is read and watched into a table. */
  private final class WatchedRange implements WatchListener {
    private final KeyRange range;
    private final StoreTable table;

    /** The keys of the entries that were written since the last outage. */
    private final Set<String> rewritten = new HashSet<>();

    /** The number of that outage. */
    private long rewrittenSinceOutage;

    private Watch watch;
    private long generation;
    private int failures;
    private boolean waitsForRetry;

    WatchedRange(KeyRange range, StoreTable table) {
      this.range = range;
      this.table = table;
    }

    void open() {
      long expectedGeneration;
      synchronized (StoreFollower.this) {
        generation++;
        expectedGeneration = generation;
        waitsForRetry = false;
      }
      StoreAnswers.handle(
          store.read(range),
          "a read of range " + range.key(),
          answer -> onRead(expectedGeneration, answer),
          failure -> onReadFailure(expectedGeneration, failure));
    }

    /** Opens the watch now if it waits for its next retry. */
    void reopenIfWaiting() {
      synchronized (StoreFollower.this) {
        if (!waitsForRetry || readSchedule == null) {
          return;
        }
      }
      open();
    }

    void close() {
      generation++;
      waitsForRetry = false;
      if (watch != null) {
        watch.close();
        watch = null;
      }
    }

    private void onRead(long expectedGeneration, Either<StoreFailure, Snapshot> answer) {
      storeView.contact().recordOutcome(answer);
      synchronized (StoreFollower.this) {
        if (expectedGeneration != generation) {
          return;
        }
        if (answer.isLeft()) {
          scheduleRetry(expectedGeneration, answer.getLeft());
          return;
        }
      }
      Snapshot snapshot = answer.get();
      LOG.write(
          Event.STORE_RANGE_READ,
          range.key(),
          snapshot.revision().value(),
          snapshot.entries().size());
      if (storeView.contact().isRecovering()) {
        applyWhileRecovering(snapshot.revision(), snapshot.entries(), keysMissingIn(snapshot));
      } else {
        table.replaceFromRead(snapshot);
      }
      synchronized (StoreFollower.this) {
        if (expectedGeneration != generation) {
          return;
        }
        watch = store.watch(range, snapshot.revision(), this);
        failures = 0;
      }
    }

    private void onReadFailure(long expectedGeneration, StoreFailure failure) {
      synchronized (StoreFollower.this) {
        if (expectedGeneration == generation) {
          scheduleRetry(expectedGeneration, failure);
        }
      }
    }

    private List<String> keysMissingIn(Snapshot snapshot) {
      Set<String> present = snapshot.entries().stream().map(Entry::key).collect(Collectors.toSet());
      return table.entries().stream().map(Entry::key).filter(k -> !present.contains(k)).toList();
    }

    private void recordRewritten(List<Entry> seen) {
      long outages = storeView.contact().outages();
      if (outages != rewrittenSinceOutage) {
        rewritten.clear();
        rewrittenSinceOutage = outages;
      }
      seen.stream()
          .filter(e -> table.get(e.key()).forAll(k -> e.modified().isAfter(k.modified())))
          .forEach(e -> rewritten.add(e.key()));
    }

    /**
     * Applies changes of which the deletions may be a consequence of the outage. An owner that has
     * written its entry since then reaches the store; if the entry is deleted, the owner has left.
     */
    private synchronized void applyWhileRecovering(
        Revision revision, List<Entry> puts, List<String> deletes) {
      recordRewritten(puts);
      Map<Boolean, List<String>> deletesByRewritten =
          deletes.stream().collect(Collectors.partitioningBy(rewritten::contains));
      List<String> kept = deletesByRewritten.get(false);
      if (!kept.isEmpty()) {
        LOG.write(Event.STORE_ENTRIES_KEPT, range.key(), revision.value(), kept);
      }
      table.applyChanges(revision, puts, deletesByRewritten.get(true), kept);
      rewritten.removeAll(deletes);
    }

    private void scheduleRetry(long expectedGeneration, StoreFailure failure) {
      waitsForRetry = true;
      Duration delay = WATCH_RETRY_DELAY.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
      failures++;
      LOG.write(Event.STORE_WATCH_LOST, range.key(), failure.message(), delay.toMillis());
      timer.schedule(
          () -> {
            synchronized (StoreFollower.this) {
              if (expectedGeneration != generation) {
                return;
              }
            }
            open();
          },
          delay.toMillis(),
          TimeUnit.MILLISECONDS);
    }

    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      storeView.contact().recordSign();
      if (storeView.contact().isRecovering()) {
        applyWhileRecovering(revision, puts, deletes);
      } else {
        table.applyChanges(revision, puts, deletes);
      }
    }

    @Override
    public void onFailure(StoreFailure failure) {
      synchronized (StoreFollower.this) {
        if (watch == null) {
          return;
        }
        watch = null;
        generation++;
        scheduleRetry(generation, failure);
      }
    }
  }
}
