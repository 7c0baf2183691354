package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * Keeps views current from the store while it is switched on: reads the configuration at a steady
 * pace, which is also the evidence that it is the newest, and watches engines and hosts. Only hosts
 * that others depend on follow the store; the others get the views from them.
 */
public final class StoreFollower {
  private static final EventLog LOG = EventLog.of(StoreFollower.class);

  /**
   * Pause between two reads of the configuration; a third of the bound on bringing it into force.
   */
  private static final Duration READ_INTERVAL = Duration.ofMillis(700);

  /** Pause before a broken watch is begun again; keeps a store that refuses from being flooded. */
  private static final Duration WATCH_RETRY = Duration.ofMillis(300);

  /**
   * Entries that vanished while the store was out of reach are kept for this long after its return,
   * since their owners need so long to write them again.
   */
  private static final Duration RETURN_GRACE = Duration.ofMillis(2300);

  private final Store store;
  private final Views views;
  private final Clocks clocks;
  private final ScheduledExecutorService timer;
  private final KeyRange operators;
  private final String configurationKey;
  private final Consumer<List<Entry>> onOrders;
  private final Followed engines;
  private final Followed hosts;
  private ScheduledFuture<?> reading;
  private boolean readUnderway;
  private boolean reached;
  private boolean lostContact;
  private Stamp returnedAt;

  /**
   * What is followed.
   *
   * @param operators the prefix under which operators write
   * @param configurationKey the key of the configuration, under that prefix
   * @param engines the prefix under which engines register
   */
  public record Sources(KeyRange operators, String configurationKey, KeyRange engines) {}

  /** Creates a follower; {@code onOrders} hears of all that operators have written beside it. */
  public StoreFollower(
      Store store,
      Views views,
      Clocks clocks,
      ScheduledExecutorService timer,
      Sources sources,
      Consumer<List<Entry>> onOrders) {
    this.store = store;
    this.views = views;
    this.clocks = clocks;
    this.timer = timer;
    this.operators = sources.operators();
    this.configurationKey = sources.configurationKey();
    this.onOrders = onOrders;
    this.engines = new Followed(sources.engines(), views.engines());
    this.hosts = new Followed(KeyRange.ofPrefix(KeyNames.HOSTS), views.hosts());
  }

  /** Switches following on or off; nothing if it is so already. */
  public synchronized void follow(boolean on) {
    if (on == (reading != null)) {
      return;
    }
    if (on) {
      reading =
          timer.scheduleWithFixedDelay(
              this::readConfiguration, 0, READ_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
      engines.open();
      hosts.open();
    } else {
      reading.cancel(false);
      reading = null;
      engines.close();
      hosts.close();
    }
    LOG.write(on ? Event.STORE_FOLLOWED : Event.STORE_UNFOLLOWED);
  }

  /** Tells whether following is switched on. */
  public synchronized boolean isFollowing() {
    return reading != null;
  }

  /** Reads the configuration once, now. */
  public void readConfiguration() {
    synchronized (this) {
      if (readUnderway) {
        return;
      }
      readUnderway = true;
    }
    Stamp asked = clocks.now();
    store.read(operators).thenAccept(answer -> onConfiguration(asked, answer));
  }

  private void onConfiguration(Stamp asked, Either<StoreFailure, Snapshot> answer) {
    synchronized (this) {
      readUnderway = false;
      noteContact(answer);
    }
    answer.forEach(
        snapshot -> {
          List<Entry> orders = new ArrayList<>();
          for (Entry e : snapshot.entries()) {
            if (e.key().equals(configurationKey)) {
              views.offer(new Views.Document(e.modified(), e.value()));
            } else {
              orders.add(e);
            }
          }
          views.evidence().confirmOwn(asked);
          onOrders.accept(orders);
        });
  }

  private void noteContact(Either<StoreFailure, Snapshot> answer) {
    if (answer.isRight() && lostContact) {
      returnedAt = clocks.now();
      LOG.write(Event.STORE_REGAINED);
    } else if (answer.isLeft() && !lostContact && reached) {
      LOG.write(Event.STORE_LOST, answer.getLeft().message());
    }
    reached |= answer.isRight();
    lostContact = answer.isLeft();
  }

  /** Tells whether vanished entries may still come back after an outage. */
  private synchronized boolean isReturning() {
    boolean fresh =
        returnedAt != null && clocks.now().since(returnedAt).compareTo(RETURN_GRACE) < 0;
    return lostContact || fresh;
  }

  /** One prefix that is watched into a table. */
  private final class Followed implements WatchListener {
    private final KeyRange range;
    private final EntryTable table;
    private Watch watch;
    private long generation;

    Followed(KeyRange range, EntryTable table) {
      this.range = range;
      this.table = table;
    }

    void open() {
      long mine;
      synchronized (StoreFollower.this) {
        generation++;
        mine = generation;
      }
      store.read(range).thenAccept(answer -> onRead(mine, answer));
    }

    void close() {
      generation++;
      if (watch != null) {
        watch.close();
        watch = null;
      }
    }

    private void onRead(long mine, Either<StoreFailure, Snapshot> answer) {
      synchronized (StoreFollower.this) {
        if (mine != generation) {
          return;
        }
        if (answer.isLeft()) {
          retry(mine);
          return;
        }
      }
      Snapshot snapshot = answer.get();
      boolean missing = isReturning() && missesSome(snapshot);
      if (missing) {
        table.apply(snapshot.revision(), snapshot.entries(), List.of());
      } else {
        table.replace(snapshot);
      }
      synchronized (StoreFollower.this) {
        if (mine != generation) {
          return;
        }
        watch = store.watch(range, snapshot.revision(), this);
        if (missing) {
          timer.schedule(this::reopen, RETURN_GRACE.toMillis(), TimeUnit.MILLISECONDS);
        }
      }
    }

    private boolean missesSome(Snapshot snapshot) {
      List<String> present = snapshot.entries().stream().map(Entry::key).toList();
      return table.entries().stream().anyMatch(e -> !present.contains(e.key()));
    }

    private void reopen() {
      synchronized (StoreFollower.this) {
        if (reading == null) {
          return;
        }
        close();
      }
      open();
    }

    private void retry(long mine) {
      timer.schedule(
          () -> {
            synchronized (StoreFollower.this) {
              if (mine != generation) {
                return;
              }
            }
            open();
          },
          WATCH_RETRY.toMillis(),
          TimeUnit.MILLISECONDS);
    }

    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      if (!deletes.isEmpty() && isReturning()) {
        table.apply(revision, puts, List.of());
        timer.schedule(this::reopen, RETURN_GRACE.toMillis(), TimeUnit.MILLISECONDS);
      } else {
        table.apply(revision, puts, deletes);
      }
    }

    @Override
    public void onBroken(StoreFailure failure) {
      synchronized (StoreFollower.this) {
        if (watch == null) {
          return;
        }
        watch = null;
        generation++;
        retry(generation);
      }
    }
  }
}
