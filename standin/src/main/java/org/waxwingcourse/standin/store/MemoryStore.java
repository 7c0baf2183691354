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
 * An in-memory store with the limits of the platform's store and with injectable faults.
 *
 * <p>Calls complete on the caller's thread unless a delay is set, and watches receive a change on
 * the writer's thread unless they lag, so a test with a manual clock does not have to wait. After
 * advancing its clock, a test calls {@link #tick}, which removes expired leases and delivers
 * delayed changes to watches.
 */
public final class MemoryStore implements Store {
  /** Maximum size of a value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private final InstantSource clock;
  private final Object lock = new Object();
  private final EntryTable table = new EntryTable();
  private final LeaseTable leases = new LeaseTable();
  private final CallMeter meter = new CallMeter();
  private final Set<MemoryWatch> watches = ConcurrentHashMap.newKeySet();
  private final AtomicInteger responsesToDrop = new AtomicInteger();
  private volatile StoreFaults faults = StoreFaults.NONE;

  private MemoryStore(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns an empty store. */
  public static MemoryStore of(InstantSource clock) {
    return new MemoryStore(clock);
  }

  /** Replaces the persistent faults. */
  public void setFaults(StoreFaults newFaults) {
    faults = newFaults;
    if (newFaults.outage() == StoreFaults.Outage.REFUSING) {
      watches.forEach(watch -> watch.fail(unreachable()));
    }
    tick();
  }

  /** Returns the persistent faults. */
  public StoreFaults faults() {
    return faults;
  }

  /** Makes the next {@code count} writes take effect with an unknown outcome for the writer. */
  public void loseAnswers(int count) {
    responsesToDrop.set(count);
  }

  /** Returns the numbers of received calls by kind. */
  public CallCounts counts() {
    return meter.counts();
  }

  /** Removes expired leases and delivers the changes that have become visible to watches. */
  public void tick() {
    synchronized (lock) {
      expireLeases(clock.instant());
    }
    deliverToWatches();
  }

  /** Reads a range without counting a call and regardless of faults, for assertions in tests. */
  public Snapshot peek(KeyRange range) {
    synchronized (lock) {
      expireLeases(clock.instant());
      return table.read(range);
    }
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
    return executeCall(CallMeter.Kind.READ, () -> Either.right(table.read(range)));
  }

  @Override
  public CompletableFuture<WriteOutcome> write(Transaction transaction) {
    Optional<StoreFailure> failure = admissionFailure(CallMeter.Kind.WRITE);
    if (failure.isPresent()) {
      boolean silent = faults.outage() == StoreFaults.Outage.SILENT;
      return complete(
          silent
              ? new WriteOutcome.Unknown(failure.get().message())
              : new WriteOutcome.NotSent(failure.get()));
    }
    WriteOutcome outcome;
    synchronized (lock) {
      Instant now = clock.instant();
      expireLeases(now);
      outcome =
          validationFailure(transaction)
              .<WriteOutcome>map(WriteOutcome.NotSent::new)
              .orElseGet(() -> table.apply(transaction, now));
    }
    deliverToWatches();
    boolean responseLost = responsesToDrop.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    return complete(responseLost ? new WriteOutcome.Unknown("the response was lost") : outcome);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive) {
    return executeCall(
        CallMeter.Kind.LEASE, () -> Either.right(leases.grant(timeToLive, clock.instant())));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease) {
    return executeCall(
        CallMeter.Kind.LEASE,
        () ->
            leases
                .renew(lease, clock.instant())
                .<Either<StoreFailure, Lease>>map(Either::right)
                .orElseGet(() -> Either.left(leaseNotFound(lease))));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease) {
    return executeCall(
        CallMeter.Kind.LEASE,
        () -> {
          if (!leases.remove(lease)) {
            return Either.left(leaseNotFound(lease));
          }
          table.deleteAttachedTo(lease, clock.instant());
          return Either.right(lease);
        });
  }

  @Override
  public Watch watch(KeyRange range, Revision after, WatchListener listener) {
    MemoryWatch watch = new MemoryWatch(range, after, listener, watches::remove);
    Optional<StoreFailure> failure = admissionFailure(CallMeter.Kind.WATCH);
    if (failure.isPresent() && faults.outage() != StoreFaults.Outage.SILENT) {
      watch.fail(failure.get());
      return watch;
    }
    watches.add(watch);
    deliverTo(watch);
    return watch;
  }

  private <T> CompletableFuture<Either<StoreFailure, T>> executeCall(
      CallMeter.Kind kind, Supplier<Either<StoreFailure, T>> action) {
    Optional<StoreFailure> failure = admissionFailure(kind);
    if (failure.isPresent()) {
      return complete(Either.left(failure.get()));
    }
    Either<StoreFailure, T> result;
    synchronized (lock) {
      expireLeases(clock.instant());
      result = action.get();
    }
    deliverToWatches();
    return complete(result);
  }

  private Optional<StoreFailure> admissionFailure(CallMeter.Kind kind) {
    StoreFaults current = faults;
    boolean admitted = meter.countAndAdmit(kind, current, clock.instant());
    if (current.outage() != StoreFaults.Outage.NONE) {
      return Optional.of(unreachable());
    }
    return admitted
        ? Optional.empty()
        : Optional.of(
            new StoreFailure(StoreFailure.Kind.RATE_LIMITED, "etcdserver: too many requests"));
  }

  private Optional<StoreFailure> validationFailure(Transaction transaction) {
    int operations = Math.max(transaction.compares().size(), transaction.changes().size());
    if (operations > Transaction.MAX_OPERATIONS) {
      return Optional.of(rejected("etcdserver: too many operations in txn request"));
    }
    for (Transaction.Change change : transaction.changes()) {
      if (change instanceof Transaction.Put put) {
        if (put.value().length > MAX_VALUE_BYTES) {
          return Optional.of(rejected("etcdserver: request is too large"));
        }
        if (!leases.isNoneOrGranted(put.lease())) {
          return Optional.of(leaseNotFound(put.lease()));
        }
      }
    }
    return Optional.empty();
  }

  private void expireLeases(Instant now) {
    for (LeaseId lease : leases.expired(now)) {
      leases.remove(lease);
      table.deleteAttachedTo(lease, now);
    }
  }

  private void deliverToWatches() {
    watches.forEach(this::deliverTo);
  }

  private void deliverTo(MemoryWatch watch) {
    watch.deliver(this::visibleChanges);
  }

  private Optional<List<EntryTable.RecordedChange>> visibleChanges(KeyRange range, long after) {
    StoreFaults current = faults;
    if (current.watchSilent() || current.outage() != StoreFaults.Outage.NONE) {
      return Optional.of(List.of());
    }
    Instant latestVisible = clock.instant().minus(current.watchLag());
    Function<List<EntryTable.RecordedChange>, List<EntryTable.RecordedChange>> selectVisible =
        changes -> changes.stream().takeWhile(c -> !c.changedAt().isAfter(latestVisible)).toList();
    synchronized (lock) {
      return table.changesAfter(range, after).map(selectVisible);
    }
  }

  private <T> CompletableFuture<T> complete(T value) {
    Duration delay = faults.delay();
    if (delay.isZero()) {
      return CompletableFuture.completedFuture(value);
    }
    Executor delayed = CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
    return CompletableFuture.supplyAsync(() -> value, delayed);
  }

  private static StoreFailure unreachable() {
    return new StoreFailure(StoreFailure.Kind.UNREACHABLE, "the store is unavailable");
  }

  private static StoreFailure rejected(String message) {
    return new StoreFailure(StoreFailure.Kind.REFUSED, message);
  }

  private static StoreFailure leaseNotFound(LeaseId lease) {
    String message = "etcdserver: requested lease " + lease.value() + " not found";
    return new StoreFailure(StoreFailure.Kind.LEASE_GONE, message);
  }
}
