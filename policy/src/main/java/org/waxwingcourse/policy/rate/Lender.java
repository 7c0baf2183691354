package org.waxwingcourse.policy.rate;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.trust.Evidence;

/**
 * A holder's share of one organisation's rate and the loans that it has granted from it. Lending
 * uses escrow: the lender's bucket is debited before the message is sent, so a lost message loses
 * tokens and never creates any. A larger share takes effect only when no host can still act on an
 * older version; a smaller one takes effect immediately. Not thread-safe.
 */
final class Lender {
  /** How long lent tokens may be spent. */
  static final Duration LOAN_VALIDITY = Duration.ofSeconds(1);

  /**
   * Age at which a loan that was not returned is written off; exceeds the validity by more than the
   * clock drift.
   */
  static final Duration WRITE_OFF_AFTER = Duration.ofMillis(1_050);

  private final TokenBucket bucket;
  private final Map<Long, Loan> loans = new HashMap<>();
  private Optional<PendingIncrease> pendingIncrease = Optional.empty();

  Lender(Instant now) {
    bucket = new TokenBucket(now);
  }

  private record Loan(long amount, Deadline writeOffAt) {}

  private record PendingIncrease(Share share, Deadline effectiveFrom) {}

  TokenBucket bucket() {
    return bucket;
  }

  /** Takes over a share immediately, optionally with a full bucket. */
  void takeOver(Share share, boolean full, Instant now) {
    pendingIncrease = Optional.empty();
    bucket.resize(share, now);
    if (full) {
      bucket.fillToCapacity(now);
    }
  }

  /**
   * Gives up the current share and takes over another one at {@code effectiveFrom}, with an empty
   * bucket.
   */
  void takeOverAt(Share share, Instant effectiveFrom, Instant now) {
    bucket.resize(Share.NONE, now);
    pendingIncrease = Optional.of(new PendingIncrease(share, Deadline.at(effectiveFrom)));
    applyDueIncrease(now);
  }

  /** Changes the share of a host that has applied every version since its current share. */
  void changeShare(Share share, Instant now) {
    applyDueIncrease(now);
    bucket.resize(bucket.share().componentwiseMin(share), now);
    if (!share.exceeds(bucket.share())) {
      pendingIncrease = Optional.empty();
      return;
    }
    Optional<PendingIncrease> earlierIncrease =
        pendingIncrease.filter(p -> !share.exceeds(p.share()));
    Deadline effectiveFrom =
        earlierIncrease
            .map(PendingIncrease::effectiveFrom)
            .orElse(Deadline.at(now.plus(Evidence.SETTLE_TIME)));
    pendingIncrease = Optional.of(new PendingIncrease(share, effectiveFrom));
  }

  /**
   * Returns the amount that batch work must leave in the bucket: half of the capacity, but less if
   * batch work could otherwise never take a token.
   */
  long reserve() {
    long capacity = bucket.share().capacity();
    return Math.max(0, Math.min(capacity / 2, capacity - TokenBucket.TOKEN));
  }

  /**
   * Lends up to {@code wanted} of the amount that the bucket holds above {@code reserve}, and
   * returns the amount lent.
   */
  long lend(long grant, long wanted, long reserve, Instant now) {
    tick(now);
    long lendable = Math.min(wanted, bucket.amount(now) - reserve);
    long amount = bucket.lend(Math.max(0, lendable), now);
    if (amount > 0) {
      loans.put(grant, new Loan(amount, Deadline.at(now.plus(WRITE_OFF_AFTER))));
    }
    return amount;
  }

  /** Handles the return of a loan; ignored if the loan has already been returned or written off. */
  void settle(long grant, long unspent, Instant now) {
    tick(now);
    Loan loan = loans.remove(grant);
    if (loan != null) {
      bucket.settle(loan.amount(), Math.min(unspent, loan.amount()), now);
    }
  }

  /** Writes off loans and applies a larger share when they are due. */
  void tick(Instant now) {
    applyDueIncrease(now);
    loans
        .values()
        .removeIf(
            loan -> {
              boolean due = loan.writeOffAt().isPast(now);
              if (due) {
                bucket.settle(loan.amount(), 0, now);
              }
              return due;
            });
  }

  private void applyDueIncrease(Instant now) {
    if (pendingIncrease.filter(p -> p.effectiveFrom().isPast(now)).isPresent()) {
      bucket.resize(pendingIncrease.get().share(), pendingIncrease.get().effectiveFrom().at());
      pendingIncrease = Optional.empty();
    }
  }
}
