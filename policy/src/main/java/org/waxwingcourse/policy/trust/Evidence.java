package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.waxwingcourse.model.time.Deadline;

/**
 * The newest instant up to which this host is known to miss no accepted version. The right to act
 * on keys and shares ends a fixed time after that instant; it is compared with the clock at each
 * use, so a paused process finds its right lapsed when it resumes.
 */
public final class Evidence {
  /** How long a host may act on its versions after the instant that its evidence names. */
  public static final Duration VALIDITY = Duration.ofSeconds(4);

  /**
   * After this time every host that has not heard of a change has stopped, whatever its clock's
   * drift.
   */
  public static final Duration SETTLED = Duration.ofMillis(4_200);

  private final InstantSource clock;
  private volatile Instant heardAt = Instant.MIN;

  /** Creates evidence that has lapsed. */
  public Evidence(InstantSource clock) {
    this.clock = clock;
  }

  /** Notes that nothing accepted before {@code instant} is missed. */
  public synchronized void confirm(Instant instant) {
    if (instant.isAfter(heardAt)) {
      heardAt = instant;
    }
  }

  /** Tells whether the host may act on its versions now. */
  public boolean isCurrent() {
    return age().map(a -> a.compareTo(VALIDITY) < 0).orElse(false);
  }

  /** Returns how long ago the evidence was good, empty if there never was any. */
  public Optional<Duration> age() {
    Instant at = heardAt;
    if (at.equals(Instant.MIN)) {
      return Optional.empty();
    }
    return Optional.of(Duration.between(at, clock.instant()));
  }

  /** Returns when the right lapses unless it is renewed. */
  public Deadline deadline() {
    Instant at = heardAt;
    return Deadline.at(at.equals(Instant.MIN) ? at : at.plus(VALIDITY));
  }
}
