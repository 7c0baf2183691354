package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Intervals of the agreement between hosts. */
final class AgreementTiming {
  /** How often two random hosts are asked. */
  static final Duration GOSSIP = Duration.ofSeconds(1);

  /** Evidence older than this is renewed by a read of the store. */
  static final Duration READ_AFTER = Duration.ofMillis(1_500);

  /** Time given to the store before other ways are tried. */
  static final Duration READ_TIMEOUT = Duration.ofMillis(500);

  /** Evidence older than this is renewed by a vote of the roster if the store does not answer. */
  static final Duration POLL_AFTER = Duration.ofMillis(2_200);

  /** Time between two attempts of the same kind. */
  static final Duration RETRY = Duration.ofMillis(700);

  /** Spread added to each of these times. */
  static final Duration JITTER = Duration.ofMillis(400);

  /** Time in which peers may bring a newer version before the store's documents are read. */
  static final Duration FETCH_AFTER = Duration.ofMillis(800);

  private AgreementTiming() {}

  static Duration jittered(Duration base, RandomGenerator random) {
    return base.plusNanos(random.nextLong(JITTER.toNanos()));
  }
}
