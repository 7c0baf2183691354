package org.waxwingcourse.policy.rate;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket: fills at a steady rate up to a capacity, and a request takes one token. Amounts are
 * whole billionths of a token, so that nothing is created by rounding. What is lent to other hosts
 * counts against the capacity until it is settled. Not safe for use by several threads.
 */
public final class TokenBucket {
  /** One token. */
  public static final long TOKEN = 1_000_000_000L;

  private static final Duration LONGEST_WAIT = Duration.ofSeconds(10);

  private Share share = Share.NONE;
  private long amount;
  private long lent;
  private Instant filledAt;

  /** Creates an empty bucket without a share. */
  public TokenBucket(Instant now) {
    filledAt = now;
  }

  Share share() {
    return share;
  }

  /** Changes capacity and rate; what is in the bucket stays, as far as it fits. */
  public void resize(Share newShare, Instant now) {
    fill(now);
    share = newShare;
    amount = Math.min(amount, room());
  }

  void fillUp(Instant now) {
    fill(now);
    amount = room();
  }

  void empty(Instant now) {
    fill(now);
    amount = 0;
  }

  /** Returns what the bucket holds. */
  public long amount(Instant now) {
    fill(now);
    return amount;
  }

  /** Takes up to {@code wanted}, and returns what was taken. */
  public long take(long wanted, Instant now) {
    fill(now);
    long taken = Math.min(wanted, amount);
    amount -= taken;
    return taken;
  }

  /** Puts back what was taken and not spent, as far as it fits. */
  public void giveBack(long unspent, Instant now) {
    fill(now);
    amount = Math.min(amount + unspent, room());
  }

  /** Takes up to {@code wanted} for another host. */
  long lend(long wanted, Instant now) {
    long taken = take(wanted, now);
    lent += taken;
    return taken;
  }

  /** Ends a loan of {@code loan}, of which {@code unspent} comes back. */
  void settle(long loan, long unspent, Instant now) {
    fill(now);
    lent -= loan;
    amount = Math.min(amount + unspent, room());
  }

  /**
   * Takes {@code wanted} now if the bucket holds it within {@code patience}, and returns when the
   * taker may act on it; takes nothing and returns the time until it will, if that is longer.
   */
  public Duration takeAhead(long wanted, Duration patience, Instant now) {
    Duration wait = timeUntil(wanted, now);
    if (wait.compareTo(patience) <= 0) {
      amount -= wanted;
    }
    return wait;
  }

  /** Returns how long until the bucket holds {@code wanted}, bounded. */
  public Duration timeUntil(long wanted, Instant now) {
    long missing = wanted - amount(now);
    if (missing <= 0) {
      return Duration.ZERO;
    }
    if (share.perSecond() <= 0) {
      return LONGEST_WAIT;
    }
    double nanos = Math.ceil(missing / share.perSecond());
    return Duration.ofNanos((long) Math.min(nanos, LONGEST_WAIT.toNanos()));
  }

  private long room() {
    return Math.max(0, share.capacity() - lent);
  }

  private void fill(Instant now) {
    if (!now.isAfter(filledAt)) {
      return;
    }
    double created = Duration.between(filledAt, now).toNanos() * share.perSecond();
    filledAt = now;
    amount = Math.min(room(), amount + (long) Math.min(created, share.capacity()));
  }
}
