package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Time constants of the agreement between hosts. */
final class AgreementTiming {
  /** Interval between requests to two random hosts. */
  static final Duration GOSSIP_INTERVAL = Duration.ofSeconds(1);

  /** Age from which evidence is renewed by a read of the store. */
  static final Duration STORE_READ_AGE = Duration.ofMillis(1_500);

  /** Time without a response after which the store is considered to have failed. */
  static final Duration STORE_READ_TIMEOUT = Duration.ofMillis(500);

  /** Age from which evidence is renewed by a poll of the roster if the store does not respond. */
  static final Duration ROSTER_POLL_AGE = Duration.ofMillis(2_200);

  /** Time between two attempts of the same kind. */
  static final Duration RETRY_INTERVAL = Duration.ofMillis(700);

  /** Upper bound of the random jitter that is added to each of these times. */
  static final Duration MAX_JITTER = Duration.ofMillis(400);

  /**
   * Time to wait for a newer version from other hosts before the documents are read from the store.
   */
  static final Duration DOCUMENT_FETCH_DELAY = Duration.ofMillis(800);

  private AgreementTiming() {}

  static Duration withJitter(Duration base, RandomGenerator random) {
    return base.plusNanos(random.nextLong(MAX_JITTER.toNanos()));
  }
}
