package org.waxwingcourse.policy.rate;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.trust.Evidence;

/**
 * A holder's share of one organisation's rate, and what it has lent of it (escrow: the lender is
 * debited before the message leaves, so a lost message loses tokens and never creates any). A
 * larger share takes effect only once every host that may still act on an older version has lapsed;
 * a smaller one takes effect at once. Not safe for use by several threads.
 */
final class Lender {
  /** How long lent tokens may be spent. */
  static final Duration VALID = Duration.ofSeconds(1);

  /** When a loan that was not returned is written off, whatever the clocks' drift. */
  static final Duration WRITTEN_OFF = Duration.ofMillis(1_050);

  private final TokenBucket bucket;
  private final Map<Long, Loan> loans = new HashMap<>();
  private Optional<Growth> growth = Optional.empty();

  Lender(Instant now) {
    bucket = new TokenBucket(now);
  }

  private record Loan(long amount, Deadline writtenOff) {}

  private record Growth(Share share, Deadline from) {}

  TokenBucket bucket() {
    return bucket;
  }

  /** Takes a share over at once, with a full or an empty bucket. */
  void begin(Share share, boolean full, Instant now) {
    growth = Optional.empty();
    bucket.resize(share, now);
    if (full) {
      bucket.fillUp(now);
    }
  }

  /** Gives the present share up and waits to take another one over, with an empty bucket. */
  void beginLater(Share share, Instant from, Instant now) {
    bucket.resize(Share.NONE, now);
    growth = Optional.of(new Growth(share, Deadline.at(from)));
    settleGrowth(now);
  }

  /** Follows a change of the share without a gap in what this host has seen. */
  void change(Share share, Instant now) {
    settleGrowth(now);
    bucket.resize(bucket.share().least(share), now);
    if (!share.exceeds(bucket.share())) {
      growth = Optional.empty();
      return;
    }
    Optional<Growth> kept = growth.filter(g -> !share.exceeds(g.share()));
    Deadline from = kept.map(Growth::from).orElse(Deadline.at(now.plus(Evidence.SETTLED)));
    growth = Optional.of(new Growth(share, from));
  }

  /** Returns what batch work leaves in the bucket: half, but never so much that it starves. */
  long reserve() {
    long capacity = bucket.share().capacity();
    return Math.max(0, Math.min(capacity / 2, capacity - TokenBucket.TOKEN));
  }

  /** Lends up to {@code wanted} of what the bucket holds above {@code reserve}. */
  long lend(long grant, long wanted, long reserve, Instant now) {
    tick(now);
    long most = Math.min(wanted, bucket.amount(now) - reserve);
    long amount = bucket.lend(Math.max(0, most), now);
    if (amount > 0) {
      loans.put(grant, new Loan(amount, Deadline.at(now.plus(WRITTEN_OFF))));
    }
    return amount;
  }

  /** A loan is returned; ignored if it was returned or written off before. */
  void settle(long grant, long unspent, Instant now) {
    tick(now);
    Loan loan = loans.remove(grant);
    if (loan != null) {
      bucket.settle(loan.amount(), Math.min(unspent, loan.amount()), now);
    }
  }

  /** Writes loans off and takes a larger share over when they are due. */
  void tick(Instant now) {
    settleGrowth(now);
    loans
        .values()
        .removeIf(
            loan -> {
              boolean due = loan.writtenOff().isPast(now);
              if (due) {
                bucket.settle(loan.amount(), 0, now);
              }
              return due;
            });
  }

  private void settleGrowth(Instant now) {
    if (growth.filter(g -> g.from().isPast(now)).isPresent()) {
      bucket.resize(growth.get().share(), growth.get().from().at());
      growth = Optional.empty();
    }
  }
}
