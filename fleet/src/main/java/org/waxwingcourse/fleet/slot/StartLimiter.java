package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.fleet.engine.RequestRate;

/**
 * Bounds how many requests start on one engine by the limit that the engine names: a token bucket
 * that fills at the limit, or at this coordinator's share of it. It is empty when a limit begins
 * and while the coordinator serves no hosts, so that two coordinators in turn do not both begin
 * with a full one.
 *
 * <p>An engine whose limit has ended is not filled at once, which could bring its need back: the
 * rate doubles each second from the last limit on, and after a few seconds no longer applies.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class StartLimiter {
  /** Requests that may start together, in seconds of the limit. */
  private static final double BURST_SECONDS = 1;

  /**
   * Lowest rate per second of an engine with a limit. Only an answer shows that a limit has ended,
   * so an engine that takes next to nothing still gets a request now and then.
   */
  private static final double MIN_RATE = 0.2;

  /** Lowest rate per second in estimates, which keeps them finite. */
  private static final double MIN_ESTIMATED_RATE = 0.002;

  private static final Duration RECOVERY_TIME = Duration.ofSeconds(3);
  private static final double NANOS_PER_SECOND = 1e9;

  /** Absorbs rounding errors of a level that is to reach a whole token. */
  private static final double EPSILON = 1e-6;

  /** The limit, or the last one while its end is recent. */
  private Option<RequestRate> limit = Option.none();

  private Option<Instant> endedAt = Option.none();
  private double share;
  private double tokens;
  private Instant updatedAt = Instant.MIN;

  StartLimiter(double share) {
    this.share = share;
  }

  /** Sets the limit that the engine names, none if it names none. */
  void setLimit(Option<RequestRate> named, Instant now) {
    boolean inForce = limit.isDefined() && endedAt.isEmpty();
    if (named.isEmpty() && inForce) {
      settle(now);
      endedAt = Option.some(now);
    } else if (named.isDefined() && !(inForce && named.equals(limit))) {
      settle(now);
      tokens = isLimiting(now) ? tokens : 0;
      limit = named;
      endedAt = Option.none();
      tokens = Math.min(tokens, capacity(now));
    }
  }

  /** Sets the share of the limit that this coordinator may use, in [0, 1]. */
  void setShare(double newShare, Instant now) {
    if (newShare != share) {
      settle(now);
      share = newShare;
      tokens = newShare == 0 ? 0 : Math.min(tokens, capacity(now));
    }
  }

  /** Returns whether the engine's limit, or its recent end, bounds the starts. */
  boolean isLimiting(Instant now) {
    return limit.isDefined() && endedAt.forAll(at -> now.isBefore(at.plus(RECOVERY_TIME)));
  }

  /** Returns the requests per second that may start; infinite without a limit. */
  double rate(Instant now) {
    if (!isLimiting(now)) {
      return Double.POSITIVE_INFINITY;
    }
    return share * baseRate() * Math.pow(2, endedAt.map(at -> seconds(at, now)).getOrElse(0.0));
  }

  boolean allowsStart(Instant now) {
    return availableStarts(now) >= 1;
  }

  /** Returns how many requests may start now. */
  int availableStarts(Instant now) {
    if (!isLimiting(now)) {
      return Integer.MAX_VALUE;
    }
    settle(now);
    return (int) (tokens + EPSILON);
  }

  /** Returns whether a further start would expire unused. */
  boolean isFull(Instant now) {
    if (!isLimiting(now)) {
      return true;
    }
    settle(now);
    return tokens + EPSILON >= capacity(now);
  }

  /** Returns when the given number of requests can have started, those now possible included. */
  Instant startTime(int count, Instant now) {
    if (!isLimiting(now)) {
      return now;
    }
    settle(now);
    double missing = count - tokens - EPSILON;
    double rate = Math.max(rate(now), MIN_ESTIMATED_RATE);
    return missing <= 0 ? now : now.plusNanos((long) (missing / rate * NANOS_PER_SECOND));
  }

  void recordStart(Instant now) {
    if (isLimiting(now)) {
      settle(now);
      tokens -= 1;
    }
  }

  /** Returns the token of a request that was not sent after all. */
  void returnStart(Instant now) {
    if (isLimiting(now)) {
      settle(now);
      tokens = Math.min(tokens + 1, capacity(now));
    }
  }

  private double baseRate() {
    return limit.map(l -> Math.max(l.perSecond(), MIN_RATE)).getOrElse(0.0);
  }

  private double capacity(Instant now) {
    return Math.max(1, rate(now) * BURST_SECONDS);
  }

  private void settle(Instant now) {
    if (now.isAfter(updatedAt)) {
      if (isLimiting(now) && !updatedAt.equals(Instant.MIN)) {
        double mean = (rate(updatedAt) + rate(now)) / 2;
        tokens = Math.min(tokens + mean * seconds(updatedAt, now), capacity(now));
      }
      updatedAt = now;
    }
  }

  private static double seconds(Instant from, Instant to) {
    return from.isAfter(to) ? 0 : Duration.between(from, to).toNanos() / NANOS_PER_SECOND;
  }
}
