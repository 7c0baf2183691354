package org.waxwingcourse.batch.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.batch.CallBudget;
import org.waxwingcourse.policy.retry.Backoff;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Blocking calls to the store, with retries and a limited call rate.
 *
 * <p>A write whose response was lost is sent again unchanged. Its comparisons let it take effect at
 * most once. If the second attempt fails its comparison, the current entry shows whether the first
 * attempt wrote it, so that no write is attributed to the wrong writer.
 */
public final class StoreClient {
  private static final int MAX_ATTEMPTS = 4;
  private static final Backoff BACKOFF = Backoff.of(Duration.ofMillis(50), Duration.ofMillis(800));
  private static final double CALLS_PER_SECOND = 20;
  private static final int BURST = 40;

  private final Store store;
  private final CallBudget budget;
  private final RandomGenerator random;
  private final Pause pause;

  /** Creates an instance with its own call budget, which all users of the instance share. */
  public StoreClient(Store store, InstantSource clock, RandomGenerator random, Pause pause) {
    this.store = store;
    this.budget = new CallBudget(clock, CALLS_PER_SECOND, BURST);
    this.random = random;
    this.pause = pause;
  }

  /** Returns the underlying store, for watches and leases. */
  public Store store() {
    return store;
  }

  /** Reads a range and retries a few times after a failure. */
  public Either<StoreFailure, Snapshot> read(KeyRange range) {
    Either<StoreFailure, Snapshot> result = readOnce(range);
    for (int n = 1; n < MAX_ATTEMPTS && result.isLeft(); n++) {
      pause.sleep(BACKOFF.delay(n - 1, random));
      result = readOnce(range);
    }
    return result;
  }

  /**
   * Writes and retries a few times after a failure that may be temporary or an unknown outcome.
   *
   * @param isOwnEntry tests whether an entry is the one that this write stores
   * @return the outcome, {@link WriteOutcome.Unknown} only if no later attempt showed whether an
   *     earlier one took effect
   */
  public WriteOutcome write(Transaction transaction, Predicate<Entry> isOwnEntry) {
    WriteOutcome outcome = writeOnce(transaction);
    boolean anyUnknown = outcome instanceof WriteOutcome.Unknown;
    for (int n = 1; n < MAX_ATTEMPTS && !isFinal(outcome); n++) {
      pause.sleep(BACKOFF.delay(n - 1, random));
      outcome = writeOnce(transaction);
      anyUnknown |= outcome instanceof WriteOutcome.Unknown;
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      return resolveConflict(lost, isOwnEntry);
    }
    if (anyUnknown && outcome instanceof WriteOutcome.NotSent notSent) {
      return new WriteOutcome.Unknown(notSent.failure().message());
    }
    return outcome;
  }

  private static boolean isFinal(WriteOutcome outcome) {
    return outcome instanceof WriteOutcome.Done
        || outcome instanceof WriteOutcome.Lost
        || outcome instanceof WriteOutcome.NotSent n && !isTransient(n.failure().kind());
  }

  private static boolean isTransient(StoreFailure.Kind kind) {
    return kind == StoreFailure.Kind.UNREACHABLE || kind == StoreFailure.Kind.RATE_LIMITED;
  }

  private static WriteOutcome resolveConflict(WriteOutcome.Lost lost, Predicate<Entry> isOwnEntry) {
    for (Entry entry : lost.current()) {
      if (isOwnEntry.test(entry)) {
        return new WriteOutcome.Done(entry.modified());
      }
    }
    return lost;
  }

  /**
   * Returns the revision of the snapshot's first entry, or {@link Revision#NONE} if there is none.
   */
  public static Revision revisionOf(Snapshot snapshot) {
    return snapshot.firstEntry().map(Entry::modified).orElse(Revision.NONE);
  }

  private Either<StoreFailure, Snapshot> readOnce(KeyRange range) {
    awaitBudget();
    return store.read(range).join();
  }

  private WriteOutcome writeOnce(Transaction transaction) {
    awaitBudget();
    return store.write(transaction).join();
  }

  private void awaitBudget() {
    Duration wait = budget.reserveCall();
    if (!wait.isZero()) {
      pause.sleep(wait);
    }
  }
}
