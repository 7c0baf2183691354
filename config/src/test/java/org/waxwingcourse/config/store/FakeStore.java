package org.waxwingcourse.config.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.model.id.Revision;
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
 * An in-memory store without leases and watches. It can drop write requests and responses, and run
 * an action before the next write.
 */
final class FakeStore implements Store {
  final SortedMap<String, Entry> entries = new TreeMap<>();
  long revision;
  int responsesToDrop;
  int requestsToDrop;
  Runnable beforeNextWrite = () -> {};
  Transaction lastTransaction;

  @Override
  public CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
    List<Entry> found = entries.values().stream().filter(e -> range.contains(e.key())).toList();
    Snapshot snapshot = new Snapshot(Revision.of(revision), found);
    return CompletableFuture.completedFuture(Either.right(snapshot));
  }

  @Override
  public CompletableFuture<WriteOutcome> write(Transaction transaction) {
    Runnable hook = beforeNextWrite;
    beforeNextWrite = () -> {};
    hook.run();
    lastTransaction = transaction;
    if (requestsToDrop > 0) {
      requestsToDrop--;
      return CompletableFuture.completedFuture(new WriteOutcome.Unknown("timed out"));
    }
    WriteOutcome outcome = apply(transaction);
    if (responsesToDrop > 0) {
      responsesToDrop--;
      outcome = new WriteOutcome.Unknown("response lost");
    }
    return CompletableFuture.completedFuture(outcome);
  }

  private WriteOutcome apply(Transaction transaction) {
    for (Transaction.Compare c : transaction.compares()) {
      Entry e = entries.get(c.key());
      if (!c.modified().equals(e == null ? Revision.NONE : e.modified())) {
        return new WriteOutcome.Lost(Revision.of(revision), List.of());
      }
    }
    Revision next = Revision.of(++revision);
    for (Transaction.Change c : transaction.changes()) {
      Transaction.Put put = (Transaction.Put) c;
      entries.put(put.key(), new Entry(put.key(), put.value(), next, next, LeaseId.NONE));
    }
    return new WriteOutcome.Done(next);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Watch watch(KeyRange range, Revision after, WatchListener listener) {
    throw new UnsupportedOperationException();
  }
}
