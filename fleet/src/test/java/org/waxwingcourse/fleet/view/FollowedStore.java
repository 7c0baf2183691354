package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;
import org.waxwingcourse.store.WriteOutcome;

/**
 * A store in simulated time with engines that hold their entries under leases, a host that follows
 * it, and another host that copies the first one's table as pings and pongs would.
 */
final class FollowedStore implements AutoCloseable {
  private static final String ENGINES = "e/";
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration POLL_TIMEOUT = Duration.ofMillis(1950);
  private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1200);
  private static final Duration TIME_TO_LIVE = RENEWAL_INTERVAL.multipliedBy(3);
  private static final Duration GIVE_UP = Duration.ofSeconds(20);

  private final Random random;
  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore memory = MemoryStore.of(clock);
  private final StoreView storeView = StoreView.of(document -> Either.left("none"), clocks);
  private final StoreView otherHost = StoreView.of(document -> Either.left("none"), clocks);
  private final List<Engine> engines = new ArrayList<>();
  private final SilentStore store = new SilentStore();
  private final StoreFollower follower =
      new StoreFollower(
          store,
          storeView,
          clocks,
          timer,
          new StoreFollower.Sources(KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix(ENGINES)),
          orders -> {});
  private boolean silent;
  private int smallestList = Integer.MAX_VALUE;

  FollowedStore(Random random) {
    this.random = random;
    follower.setFollowing(true);
  }

  @Override
  public void close() {
    follower.setFollowing(false);
    timer.shutdownNow();
  }

  void startEngines(int count) {
    for (int i = 0; i < count; i++) {
      engines.add(new Engine(ENGINES + i));
    }
    run(STEP);
    smallestList = storeView.engineTable().entries().size();
  }

  void setFollowing(boolean on) {
    follower.setFollowing(on);
  }

  void run(Duration span) {
    Instant end = clock.instant().plus(span);
    while (clock.instant().isBefore(end)) {
      timer.advance(STEP);
      memory.processDueEvents();
      storeView.removeLapsed();
      if (!follower.isFollowing() && !silent) {
        storeView.evidence().recordPeerProof(clocks.now());
      }
      tellOtherHost();
      smallestList = Math.min(smallestList, storeView.engineTable().entries().size());
    }
  }

  /** Tells the other host what a pong brings. */
  private void tellOtherHost() {
    if (!silent) {
      otherHost.evidence().recordPeerProof(clocks.now());
    }
    StoreTable.Content content = storeView.engineTable().content();
    if (content.revision().isAfter(otherHost.engineTable().revision())) {
      otherHost.engineTable().replaceFromPeer(content);
    }
    otherHost.removeLapsed();
  }

  /** Lets the store answer no call for a time; leases run out meanwhile. */
  void outage(Duration span) {
    silent = true;
    store.failWatches();
    run(span);
    silent = false;
  }

  /** Lets an engine leave that removes its entry; returns the entry's key. */
  String leave(int index) {
    Engine engine = engines.get(index);
    engine.ended = true;
    memory.revokeLease(engine.lease);
    return engine.key;
  }

  /** Ends an engine without a word; returns its entry's key. */
  String die(int index) {
    engines.get(index).ended = true;
    return engines.get(index).key;
  }

  boolean isListed(String key) {
    return storeView.engineTable().get(key).isDefined();
  }

  boolean isListedAtOtherHost(String key) {
    return otherHost.engineTable().get(key).isDefined();
  }

  /** Returns the smallest number of engines that were listed since they started. */
  int smallestList() {
    return smallestList;
  }

  Duration timeUntilUnlisted(String key) {
    Instant start = clock.instant();
    while (isListed(key) && clock.instant().isBefore(start.plus(GIVE_UP))) {
      run(STEP);
    }
    return Duration.between(start, clock.instant());
  }

  private final class Engine {
    private final String key;
    private LeaseId lease;
    private boolean ended;

    Engine(String key) {
      this.key = key;
      timer.schedule(this::register, random.nextInt(5), TimeUnit.MILLISECONDS);
    }

    private void register() {
      lease = memory.grantLease(TIME_TO_LIVE).join().get().id();
      memory.write(Transaction.builder().put(key, new byte[] {1}, lease).build());
      scheduleRenewal();
    }

    private void scheduleRenewal() {
      long millis = RENEWAL_INTERVAL.toMillis() - random.nextInt(100);
      timer.schedule(this::renew, millis, TimeUnit.MILLISECONDS);
    }

    private void renew() {
      if (ended) {
        return;
      }
      if (silent) {
        scheduleRenewal();
      } else if (memory.renewLease(lease).join().isLeft()) {
        register();
      } else {
        scheduleRenewal();
      }
    }
  }

  /** Calls that are sent while the store is silent fail after their time limit. */
  private final class SilentStore implements Store {
    private final List<OpenWatch> watches = new ArrayList<>();

    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call, T failure) {
      if (!silent) {
        return call.get();
      }
      CompletableFuture<T> answer = new CompletableFuture<>();
      timer.schedule(
          () -> {
            answer.complete(failure);
          },
          CALL_TIMEOUT.toMillis(),
          TimeUnit.MILLISECONDS);
      return answer;
    }

    void failWatches() {
      List<OpenWatch> failing = List.copyOf(watches);
      watches.clear();
      long millis = POLL_TIMEOUT.toMillis();
      timer.schedule(() -> failing.forEach(OpenWatch::fail), millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
      return call(() -> memory.read(range), Either.left(timedOut()));
    }

    @Override
    public CompletableFuture<WriteOutcome> write(Transaction transaction) {
      return call(() -> memory.write(transaction), new WriteOutcome.Unknown("timed out"));
    }

    @Override
    public CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive) {
      return call(() -> memory.grantLease(timeToLive), Either.left(timedOut()));
    }

    @Override
    public CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease) {
      return call(() -> memory.renewLease(lease), Either.left(timedOut()));
    }

    @Override
    public CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease) {
      return call(() -> memory.revokeLease(lease), Either.left(timedOut()));
    }

    @Override
    public Watch watch(KeyRange range, Revision after, WatchListener listener) {
      OpenWatch watch = new OpenWatch(listener);
      watch.opened = memory.watch(range, after, watch);
      watches.add(watch);
      return watch;
    }
  }

  private static StoreFailure timedOut() {
    return new StoreFailure(StoreFailure.Kind.UNREACHABLE, "no answer by the deadline");
  }

  /** A watch whose open poll is never answered once the store has become silent. */
  private final class OpenWatch implements Watch, WatchListener {
    private final WatchListener listener;
    private Watch opened;
    private boolean closed;

    OpenWatch(WatchListener listener) {
      this.listener = listener;
    }

    @Override
    public void close() {
      closed = true;
      opened.close();
    }

    void fail() {
      if (!closed) {
        close();
        listener.onFailure(timedOut());
      }
    }

    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      if (!closed && !silent) {
        listener.onChanges(revision, puts, deletes);
      }
    }

    @Override
    public void onFailure(StoreFailure failure) {
      if (!closed) {
        listener.onFailure(failure);
      }
    }
  }
}
