package org.waxwingcourse.standin.store;

import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/** Counts calls by kind and limits their rate with a token bucket that holds one second's worth. */
final class CallMeter {
  private static final double NANOS_PER_SECOND = 1e9;

  enum Kind {
    READ,
    WRITE,
    LEASE,
    WATCH;

    boolean isRead() {
      return this == READ || this == WATCH;
    }
  }

  private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);
  private final Bucket reads = new Bucket();
  private final Bucket writes = new Bucket();

  synchronized boolean admit(Kind kind, StoreFaults faults, Instant now) {
    counts.merge(kind, 1L, Long::sum);
    return kind.isRead()
        ? reads.take(faults.readsPerSecond(), now)
        : writes.take(faults.writesPerSecond(), now);
  }

  synchronized CallCounts counts() {
    return new CallCounts(
        count(Kind.READ), count(Kind.WRITE), count(Kind.LEASE), count(Kind.WATCH));
  }

  private long count(Kind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  private static final class Bucket {
    private double tokens = Double.MAX_VALUE;
    private Instant filled = Instant.MIN;

    boolean take(int rate, Instant now) {
      if (rate == 0) {
        tokens = Double.MAX_VALUE;
        return true;
      }
      if (tokens < rate) {
        double passed = java.time.Duration.between(filled, now).toNanos() / NANOS_PER_SECOND;
        tokens += passed * rate;
      }
      tokens = Math.min(rate, tokens);
      filled = now;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }
}
