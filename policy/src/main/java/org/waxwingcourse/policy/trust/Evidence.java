package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.waxwingcourse.model.time.Deadline;

/**
 * Evidence that this host's versions are current: the latest instant for which it is known that
 * this host lacks no version accepted before it. The right to act on keys and shares expires a
 * fixed time after that instant. It is compared with the clock at each use, so after a pause a
 * process detects that its right has expired.
 */
public final class Evidence {
  /** How long a host may act on its versions after the instant of its evidence. */
  public static final Duration VALIDITY = Duration.ofSeconds(4);

  /**
   * Time after a change when every host that has not received it has stopped acting on the old
   * version; includes clock drift.
   */
  public static final Duration SETTLE_TIME = Duration.ofMillis(4_200);

  private final InstantSource clock;
  private volatile Instant currentAsOf = Instant.MIN;

  /** Creates evidence that has expired. */
  public Evidence(InstantSource clock) {
    this.clock = clock;
  }

  /** Records that this host lacks no version that was accepted before {@code instant}. */
  public synchronized void confirm(Instant instant) {
    if (instant.isAfter(currentAsOf)) {
      currentAsOf = instant;
    }
  }

  /** Returns whether this host may act on its versions now. */
  public boolean isCurrent() {
    return age().map(a -> a.compareTo(VALIDITY) < 0).orElse(false);
  }

  /**
   * Returns the time since the instant of the evidence, or empty if there has never been evidence.
   */
  public Optional<Duration> age() {
    Instant at = currentAsOf;
    if (at.equals(Instant.MIN)) {
      return Optional.empty();
    }
    return Optional.of(Duration.between(at, clock.instant()));
  }

  /** Returns when the right to act on this host's versions expires unless it is renewed. */
  public Deadline deadline() {
    Instant at = currentAsOf;
    return Deadline.at(at.equals(Instant.MIN) ? at : at.plus(VALIDITY));
  }
}
