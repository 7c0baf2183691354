package org.waxwingcourse.standin.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.waxwingcourse.model.id.Revision;
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
 * A store in memory with the limits and the faults of the platform's.
 *
 * <p>Calls are answered on the caller's thread unless a delay is set, and watches hear of a change
 * on the writer's thread unless they lag, so a test with a manual clock needs no waiting. After it
 * has moved its clock a test calls {@link #tick}, which ends lapsed leases and feeds late watches.
 */
public final class MemoryStore implements Store {
  /** Largest value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private final InstantSource clock;
  private final Object lock = new Object();
  private final EntryTable table = new EntryTable();
  private final LeaseTable leases = new LeaseTable();
  private final CallMeter meter = new CallMeter();
  private final Set<MemoryWatch> watches = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile StoreFaults faults = StoreFaults.NONE;

  private MemoryStore(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns an empty store. */
  public static MemoryStore of(InstantSource clock) {
    return new MemoryStore(clock);
  }

  /** Replaces the lasting faults. */
  public void setFaults(StoreFaults newFaults) {
    faults = newFaults;
    if (newFaults.outage() == StoreFaults.Outage.REFUSING) {
      watches.forEach(watch -> watch.breakWith(unreachable()));
    }
    tick();
  }

  /** Returns the lasting faults. */
  public StoreFaults faults() {
    return faults;
  }

  /** Lets the next {@code count} writes take effect without telling the writer. */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Returns how many calls came, by kind. */
  public CallCounts counts() {
    return meter.counts();
  }

  /** Ends lapsed leases and hands watches the changes that are due. */
  public void tick() {
    synchronized (lock) {
      expireLeases(clock.instant());
    }
    feedWatches();
  }

  /** Reads a range without counting a call and past any fault, for judges in tests. */
  public Snapshot peek(KeyRange range) {
    synchronized (lock) {
      expireLeases(clock.instant());
      return table.read(range);
    }
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
    return ask(CallMeter.Kind.READ, () -> Either.right(table.read(range)));
  }

  @Override
  public CompletableFuture<WriteOutcome> write(Transaction transaction) {
    Optional<StoreFailure> refusal = refusalOf(CallMeter.Kind.WRITE);
    if (refusal.isPresent()) {
      boolean silent = faults.outage() == StoreFaults.Outage.SILENT;
      return answer(
          silent
              ? new WriteOutcome.Unknown(refusal.get().message())
              : new WriteOutcome.NotSent(refusal.get()));
    }
    WriteOutcome outcome;
    synchronized (lock) {
      Instant now = clock.instant();
      expireLeases(now);
      outcome =
          problemOf(transaction)
              .<WriteOutcome>map(WriteOutcome.NotSent::new)
              .orElseGet(() -> table.apply(transaction, now));
    }
    feedWatches();
    boolean lost = answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    return answer(lost ? new WriteOutcome.Unknown("the answer was lost") : outcome);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive) {
    return ask(CallMeter.Kind.LEASE, () -> Either.right(leases.grant(timeToLive, clock.instant())));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease) {
    return ask(
        CallMeter.Kind.LEASE,
        () ->
            leases
                .renew(lease, clock.instant())
                .<Either<StoreFailure, Lease>>map(Either::right)
                .orElseGet(() -> Either.left(gone(lease))));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease) {
    return ask(
        CallMeter.Kind.LEASE,
        () -> {
          if (!leases.remove(lease)) {
            return Either.left(gone(lease));
          }
          table.deleteOf(lease, clock.instant());
          return Either.right(lease);
        });
  }

  @Override
  public Watch watch(KeyRange range, Revision after, WatchListener listener) {
    MemoryWatch watch = new MemoryWatch(range, after, listener, watches::remove);
    Optional<StoreFailure> refusal = refusalOf(CallMeter.Kind.WATCH);
    if (refusal.isPresent() && faults.outage() != StoreFaults.Outage.SILENT) {
      watch.breakWith(refusal.get());
      return watch;
    }
    watches.add(watch);
    feed(watch);
    return watch;
  }

  private <T> CompletableFuture<Either<StoreFailure, T>> ask(
      CallMeter.Kind kind, Supplier<Either<StoreFailure, T>> action) {
    Optional<StoreFailure> refusal = refusalOf(kind);
    if (refusal.isPresent()) {
      return answer(Either.left(refusal.get()));
    }
    Either<StoreFailure, T> result;
    synchronized (lock) {
      expireLeases(clock.instant());
      result = action.get();
    }
    feedWatches();
    return answer(result);
  }

  private Optional<StoreFailure> refusalOf(CallMeter.Kind kind) {
    StoreFaults now = faults;
    boolean admitted = meter.admit(kind, now, clock.instant());
    if (now.outage() != StoreFaults.Outage.NONE) {
      return Optional.of(unreachable());
    }
    return admitted
        ? Optional.empty()
        : Optional.of(
            new StoreFailure(StoreFailure.Kind.RATE_LIMITED, "etcdserver: too many requests"));
  }

  private Optional<StoreFailure> problemOf(Transaction transaction) {
    int operations = Math.max(transaction.compares().size(), transaction.changes().size());
    if (operations > Transaction.MAX_OPERATIONS) {
      return Optional.of(refused("etcdserver: too many operations in txn request"));
    }
    for (Transaction.Change change : transaction.changes()) {
      if (change instanceof Transaction.Put put) {
        if (put.value().length > MAX_VALUE_BYTES) {
          return Optional.of(refused("etcdserver: request is too large"));
        }
        if (!leases.isKnown(put.lease())) {
          return Optional.of(gone(put.lease()));
        }
      }
    }
    return Optional.empty();
  }

  private void expireLeases(Instant now) {
    for (LeaseId lease : leases.lapsed(now)) {
      leases.remove(lease);
      table.deleteOf(lease, now);
    }
  }

  private void feedWatches() {
    watches.forEach(this::feed);
  }

  private void feed(MemoryWatch watch) {
    watch.deliver(this::dueChanges);
  }

  private Optional<List<EntryTable.Change>> dueChanges(KeyRange range, long after) {
    StoreFaults now = faults;
    if (now.watchSilent() || now.outage() != StoreFaults.Outage.NONE) {
      return Optional.of(List.of());
    }
    Instant newest = clock.instant().minus(now.watchLag());
    Function<List<EntryTable.Change>, List<EntryTable.Change>> due =
        changes -> changes.stream().takeWhile(c -> !c.at().isAfter(newest)).toList();
    synchronized (lock) {
      return table.changesAfter(range, after).map(due);
    }
  }

  private <T> CompletableFuture<T> answer(T value) {
    Duration delay = faults.delay();
    if (delay.isZero()) {
      return CompletableFuture.completedFuture(value);
    }
    Executor later = CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
    return CompletableFuture.supplyAsync(() -> value, later);
  }

  private static StoreFailure unreachable() {
    return new StoreFailure(StoreFailure.Kind.UNREACHABLE, "the store is out");
  }

  private static StoreFailure refused(String message) {
    return new StoreFailure(StoreFailure.Kind.REFUSED, message);
  }

  private static StoreFailure gone(LeaseId lease) {
    String message = "etcdserver: requested lease " + lease.value() + " not found";
    return new StoreFailure(StoreFailure.Kind.LEASE_GONE, message);
  }
}
