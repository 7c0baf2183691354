package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.fleet.engine.ColdState;
import org.waxwingcourse.fleet.engine.ColdTerms;
import org.waxwingcourse.fleet.engine.RequestRate;

/**
 * Bounds how many requests start on one engine by the limit that the engine names, or by what a
 * cold engine takes: a token bucket that fills at the lower of the two rates, or at this
 * coordinator's share of it. It is empty when a limit begins and while the coordinator serves no
 * hosts, so that two coordinators in turn do not both begin with a full one.
 *
 * <p>An engine that was lost may have restarted and be cold, before its entry says so. It counts as
 * cold until the time of a start after it has answered again.
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
   * The same of a cold engine. A burst adds to the rate in the same second, and so may the burst of
   * the coordinator before; together they stay below one and a half times the rate.
   */
  private static final double COLD_BURST_SECONDS = 0.25;

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
  private Option<ColdTerms> coldTerms = Option.none();

  /** Whether {@link #coldUntil} follows from a loss of the engine, not from its entry. */
  private boolean isColdByLoss;

  /** When the engine is no longer cold; {@link Instant#MAX} while it has not answered again. */
  private Instant coldUntil = Instant.MIN;

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

  /** Sets until when the engine counts as cold; none if it is not known what cold engines take. */
  void setCold(Option<ColdState> state, Instant now) {
    if (state.isEmpty() && coldTerms.isEmpty()) {
      return;
    }
    settle(now);
    boolean limitedBefore = isLimiting(now);
    Instant lostUntil = state.isDefined() && isColdByLoss ? coldUntil : Instant.MIN;
    Instant until = state.map(ColdState::until).getOrElse(Instant.MIN);
    coldTerms = state.map(ColdState::terms);
    isColdByLoss = lostUntil.isAfter(until);
    coldUntil = isColdByLoss ? lostUntil : until;
    limitTokens(limitedBefore, now);
  }

  /** Records how a run on the engine ended, which may show that the engine was lost or is back. */
  void recordEnd(RunEnd end, Instant now) {
    if (coldTerms.isEmpty()) {
      return;
    }
    settle(now);
    boolean limitedBefore = isLimiting(now);
    if (end.lostEngine()) {
      coldUntil = Instant.MAX;
      isColdByLoss = true;
    } else if (coldUntil.equals(Instant.MAX) && hasAnswered(end)) {
      coldUntil = now.plus(coldTerms.get().startTime());
    }
    limitTokens(limitedBefore, now);
  }

  private static boolean hasAnswered(RunEnd end) {
    return end.how() != RunEnd.How.NOT_SENT && end.how() != RunEnd.How.CANCELLED;
  }

  /** Empties the bucket if a limit begins; otherwise it holds no more than the present limit. */
  private void limitTokens(boolean limitedBefore, Instant now) {
    if (isLimiting(now)) {
      tokens = limitedBefore ? Math.min(tokens, capacity(now)) : 0;
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

  /** Returns whether a limit, its recent end, or that the engine is cold bounds the starts. */
  boolean isLimiting(Instant now) {
    return isLimitedByNeed(now) || isCold(now);
  }

  /** Returns whether the engine counts as cold. */
  boolean isCold(Instant now) {
    return coldTerms.isDefined() && now.isBefore(coldUntil);
  }

  /** Returns whether the limit that the engine names, or its recent end, bounds the starts. */
  boolean isLimitedByNeed(Instant now) {
    return limit.isDefined() && endedAt.forAll(at -> now.isBefore(at.plus(RECOVERY_TIME)));
  }

  /** Returns the requests per second that may start; infinite without a limit. */
  double rate(Instant now) {
    return Math.min(needRate(now), coldRate(now));
  }

  private double needRate(Instant now) {
    if (!isLimitedByNeed(now)) {
      return Double.POSITIVE_INFINITY;
    }
    return share * baseRate() * Math.pow(2, endedAt.map(at -> seconds(at, now)).getOrElse(0.0));
  }

  private double coldRate(Instant now) {
    return isCold(now) ? share * coldTerms.get().rate().perSecond() : Double.POSITIVE_INFINITY;
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
    return Math.max(1, Math.min(needRate(now) * BURST_SECONDS, coldRate(now) * COLD_BURST_SECONDS));
  }

  private void settle(Instant now) {
    if (coldUntil.isAfter(updatedAt) && coldUntil.isBefore(now)) {
      // The last moment at which the lower rate applied.
      settleTo(coldUntil.minusNanos(1));
    }
    settleTo(now);
  }

  private void settleTo(Instant now) {
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
