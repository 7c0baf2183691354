package org.waxwingcourse.policy.rate;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket that refills at a constant rate up to a capacity; a request takes one token. Amounts
 * are integers in billionths of a token, so that rounding never creates tokens. Tokens lent to
 * other hosts count against the capacity until the loan is settled. Not thread-safe.
 */
public final class TokenBucket {
  /** The amount of one token. */
  public static final long TOKEN = 1_000_000_000L;

  private static final Duration MAX_WAIT = Duration.ofSeconds(10);

  private Share share = Share.NONE;
  private long amount;
  private long lent;
  private Instant lastRefill;

  /** Creates an empty bucket without a share. */
  public TokenBucket(Instant now) {
    lastRefill = now;
  }

  Share share() {
    return share;
  }

  /** Changes capacity and rate. The current amount is kept up to the new capacity. */
  public void resize(Share newShare, Instant now) {
    refill(now);
    share = newShare;
    amount = Math.min(amount, freeCapacity());
  }

  void fillToCapacity(Instant now) {
    refill(now);
    amount = freeCapacity();
  }

  void empty(Instant now) {
    refill(now);
    amount = 0;
  }

  /** Returns the current amount. */
  public long amount(Instant now) {
    refill(now);
    return amount;
  }

  /** Takes up to {@code wanted} and returns the amount taken. */
  public long take(long wanted, Instant now) {
    refill(now);
    long taken = Math.min(wanted, amount);
    amount -= taken;
    return taken;
  }

  /** Returns an unspent amount to the bucket, up to its capacity. */
  public void giveBack(long unspent, Instant now) {
    refill(now);
    amount = Math.min(amount + unspent, freeCapacity());
  }

  /** Takes up to {@code wanted} for a loan to another host and returns the amount taken. */
  long lend(long wanted, Instant now) {
    long taken = take(wanted, now);
    lent += taken;
    return taken;
  }

  /** Settles a loan of amount {@code loan}, of which {@code unspent} is returned. */
  void settle(long loan, long unspent, Instant now) {
    refill(now);
    lent -= loan;
    amount = Math.min(amount + unspent, freeCapacity());
  }

  /**
   * Reserves {@code wanted} if the bucket will hold it within {@code maxWait}, and returns how long
   * the caller must wait before using it. Otherwise takes nothing and returns the longer time until
   * the bucket will hold it.
   */
  public Duration takeAhead(long wanted, Duration maxWait, Instant now) {
    Duration wait = timeUntil(wanted, now);
    if (wait.compareTo(maxWait) <= 0) {
      amount -= wanted;
    }
    return wait;
  }

  /** Returns the time until the bucket holds {@code wanted}, with an upper bound. */
  public Duration timeUntil(long wanted, Instant now) {
    long missing = wanted - amount(now);
    if (missing <= 0) {
      return Duration.ZERO;
    }
    if (share.perSecond() <= 0) {
      return MAX_WAIT;
    }
    double nanos = Math.ceil(missing / share.perSecond());
    return Duration.ofNanos((long) Math.min(nanos, MAX_WAIT.toNanos()));
  }

  private long freeCapacity() {
    return Math.max(0, share.capacity() - lent);
  }

  private void refill(Instant now) {
    if (!now.isAfter(lastRefill)) {
      return;
    }
    double refilled = Duration.between(lastRefill, now).toNanos() * share.perSecond();
    lastRefill = now;
    amount = Math.min(freeCapacity(), amount + (long) Math.min(refilled, share.capacity()));
  }
}
