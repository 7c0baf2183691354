package org.waxwingcourse.standin.store;

import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/** Counts calls by kind and limits their rate. Each token bucket holds the tokens of one second. */
final class CallMeter {
  private static final double NANOS_PER_SECOND = 1e9;

  enum Kind {
    READ,
    WRITE,
    LEASE,
    WATCH;

    boolean usesReadLimit() {
      return this == READ || this == WATCH;
    }
  }

  private final Map<Kind, Long> countsByKind = new EnumMap<>(Kind.class);
  private final TokenBucket readBucket = new TokenBucket();
  private final TokenBucket writeBucket = new TokenBucket();

  synchronized boolean countAndAdmit(Kind kind, StoreFaults faults, Instant now) {
    countsByKind.merge(kind, 1L, Long::sum);
    return kind.usesReadLimit()
        ? readBucket.tryConsume(faults.readsPerSecond(), now)
        : writeBucket.tryConsume(faults.writesPerSecond(), now);
  }

  synchronized CallCounts counts() {
    return new CallCounts(
        countOf(Kind.READ), countOf(Kind.WRITE), countOf(Kind.LEASE), countOf(Kind.WATCH));
  }

  private long countOf(Kind kind) {
    return countsByKind.getOrDefault(kind, 0L);
  }

  private static final class TokenBucket {
    private double tokens = Double.MAX_VALUE;
    private Instant lastRefill = Instant.MIN;

    boolean tryConsume(int rate, Instant now) {
      if (rate == 0) {
        tokens = Double.MAX_VALUE;
        return true;
      }
      if (tokens < rate) {
        double elapsedSeconds =
            java.time.Duration.between(lastRefill, now).toNanos() / NANOS_PER_SECOND;
        tokens += elapsedSeconds * rate;
      }
      tokens = Math.min(rate, tokens);
      lastRefill = now;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }
}
