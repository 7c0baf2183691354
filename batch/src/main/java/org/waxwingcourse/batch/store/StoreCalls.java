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
 * Blocking calls to the store inside a budget.
 *
 * <p>A write whose answer was lost is sent again as it was: its comparisons let it take effect at
 * most once, and when the second try loses, the entry that it lost to says whether it was the first
 * try's. So a later write is never mistaken for ours, nor ours for another's.
 */
public final class StoreCalls {
  private static final int TRIES = 4;
  private static final Backoff BACKOFF = Backoff.of(Duration.ofMillis(50), Duration.ofMillis(800));
  private static final double CALLS_PER_SECOND = 20;
  private static final int BURST = 40;

  private final Store store;
  private final CallBudget budget;
  private final RandomGenerator random;
  private final Pause pause;

  /** Creates calls with a budget of their own, shared by all who use this object. */
  public StoreCalls(Store store, InstantSource clock, RandomGenerator random, Pause pause) {
    this.store = store;
    this.budget = new CallBudget(clock, CALLS_PER_SECOND, BURST);
    this.random = random;
    this.pause = pause;
  }

  /** Returns the store itself, for watches and leases. */
  public Store store() {
    return store;
  }

  /** Reads a range, trying again a few times. */
  public Either<StoreFailure, Snapshot> read(KeyRange range) {
    Either<StoreFailure, Snapshot> answer = once(range);
    for (int n = 1; n < TRIES && answer.isLeft(); n++) {
      pause.await(BACKOFF.wait(n - 1, random));
      answer = once(range);
    }
    return answer;
  }

  /**
   * Writes, trying again a few times.
   *
   * @param ours recognises the entry that this write would have stored
   * @return {@link WriteOutcome.Unknown} only if no try's answer said what became of an earlier one
   */
  public WriteOutcome write(Transaction transaction, Predicate<Entry> ours) {
    WriteOutcome outcome = once(transaction);
    boolean doubtful = outcome instanceof WriteOutcome.Unknown;
    for (int n = 1; n < TRIES && !decided(outcome); n++) {
      pause.await(BACKOFF.wait(n - 1, random));
      outcome = once(transaction);
      doubtful |= outcome instanceof WriteOutcome.Unknown;
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      return recognise(lost, ours);
    }
    if (doubtful && outcome instanceof WriteOutcome.NotSent notSent) {
      return new WriteOutcome.Unknown(notSent.failure().message());
    }
    return outcome;
  }

  private static boolean decided(WriteOutcome outcome) {
    return outcome instanceof WriteOutcome.Done
        || outcome instanceof WriteOutcome.Lost
        || outcome instanceof WriteOutcome.NotSent n && !mayPass(n.failure().kind());
  }

  private static boolean mayPass(StoreFailure.Kind kind) {
    return kind == StoreFailure.Kind.UNREACHABLE || kind == StoreFailure.Kind.RATE_LIMITED;
  }

  private static WriteOutcome recognise(WriteOutcome.Lost lost, Predicate<Entry> ours) {
    for (Entry entry : lost.current()) {
      if (ours.test(entry)) {
        return new WriteOutcome.Done(entry.modified());
      }
    }
    return lost;
  }

  /** Returns the revision of the entry with the key, {@link Revision#NONE} if it is absent. */
  public static Revision revision(Snapshot snapshot) {
    return snapshot.first().map(Entry::modified).orElse(Revision.NONE);
  }

  private Either<StoreFailure, Snapshot> once(KeyRange range) {
    pace();
    return store.read(range).join();
  }

  private WriteOutcome once(Transaction transaction) {
    pace();
    return store.write(transaction).join();
  }

  private void pace() {
    Duration wait = budget.take();
    if (!wait.isZero()) {
      pause.await(wait);
    }
  }
}
