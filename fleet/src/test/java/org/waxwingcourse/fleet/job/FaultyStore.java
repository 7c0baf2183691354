package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.standin.store.MemoryStore;
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

/** A store that fails chosen writes, executes them later, or answers reads later. */
final class FaultyStore implements Store {
  private final MemoryStore store;
  private final Queue<WriteFault> writeFaults = new ArrayDeque<>();
  private final List<Transaction> lateWrites = new ArrayList<>();
  private Predicate<Transaction> rejected = t -> false;
  private Runnable afterWrite = () -> {};
  private Runnable afterRead = () -> {};
  private CompletableFuture<Void> readGate = CompletableFuture.completedFuture(null);

  /** What happens to a write. */
  enum WriteFault {
    NONE,
    /** The write is not executed, and its caller is told so. */
    REFUSED,
    ANSWER_LOST,
    /** There is no answer, and the write is executed with {@link #executeLateWrites}. */
    LATE
  }

  FaultyStore(MemoryStore store) {
    this.store = store;
  }

  /** Sets the faults of the next writes; those after them have none. */
  void failWrites(WriteFault... faults) {
    writeFaults.addAll(List.of(faults));
  }

  /** Sets which writes the store rejects, however often they are repeated. */
  void rejectWrites(Predicate<Transaction> which) {
    rejected = which;
  }

  /** Sets what happens after each write. */
  void afterWrite(Runnable action) {
    afterWrite = action;
  }

  /** Sets what happens after the next read, before its answer arrives. */
  void afterRead(Runnable action) {
    afterRead = action;
  }

  /** Holds the answers to reads until {@link #answerReads}. */
  void holdReads() {
    readGate = new CompletableFuture<>();
  }

  /** Lets reads end with an exception until {@link #answerReads}. */
  void breakReads() {
    readGate = CompletableFuture.failedFuture(new IllegalStateException("read"));
  }

  /** Answers the reads that are held, and later ones at once. */
  void answerReads() {
    readGate.complete(null);
    readGate = CompletableFuture.completedFuture(null);
  }

  /** Executes the writes that are late, if their conditions still hold. */
  void executeLateWrites() {
    lateWrites.forEach(store::write);
    lateWrites.clear();
  }

  @Override
  public CompletableFuture<WriteOutcome> write(Transaction transaction) {
    if (rejected.test(transaction)) {
      return CompletableFuture.completedFuture(
          new WriteOutcome.NotSent(new StoreFailure(StoreFailure.Kind.REFUSED, "rejected")));
    }
    WriteFault fault = writeFaults.isEmpty() ? WriteFault.NONE : writeFaults.remove();
    CompletableFuture<WriteOutcome> outcome =
        CompletableFuture.completedFuture(new WriteOutcome.Unknown("the answer was lost"));
    switch (fault) {
      case NONE -> outcome = store.write(transaction);
      case REFUSED ->
          outcome =
              CompletableFuture.completedFuture(
                  new WriteOutcome.NotSent(
                      new StoreFailure(StoreFailure.Kind.UNREACHABLE, "refused")));
      case ANSWER_LOST -> store.write(transaction).join();
      case LATE -> lateWrites.add(transaction);
      default -> throw new AssertionError("unknown fault " + fault);
    }
    afterWrite.run();
    return outcome;
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
    CompletableFuture<Either<StoreFailure, Snapshot>> answer = store.read(range);
    Runnable action = afterRead;
    afterRead = () -> {};
    action.run();
    return readGate.thenCompose(open -> answer);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive) {
    return store.grantLease(timeToLive);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease) {
    return store.renewLease(lease);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease) {
    return store.revokeLease(lease);
  }

  @Override
  public Watch watch(KeyRange range, Revision after, WatchListener listener) {
    return store.watch(range, after, listener);
  }
}
