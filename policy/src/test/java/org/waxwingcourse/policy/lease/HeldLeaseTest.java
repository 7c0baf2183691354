package org.waxwingcourse.policy.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.FencingNumber;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;

class HeldLeaseTest {
  private static final Duration TTL = Duration.ofSeconds(120);

  /**
   * The grantor's clock runs fast by the drift bound, calls are delayed, and the holder pauses for
   * random times.
   */
  @Test
  void holderStopsBeforeTheGrantorGrantsTheLeaseAgain() {
    Random random = new Random(6);
    int overlapsWithoutDriftBound = 0;
    for (int i = 0; i < 2000; i++) {
      ManualClock clock = ManualClock.at(Instant.EPOCH);
      Instant requestedAt = clock.instant();
      long millisUntilGrant = random.nextInt(3000);
      HeldLease lease = HeldLease.of(requestedAt, Deadline.after(clock, TTL), ClockDrift.FLEET);
      clock.advance(Duration.ofMillis(millisUntilGrant + random.nextInt(3000)));
      clock.advance(Duration.ofMillis(random.nextInt(150_000)));
      long grantorElapsedMillis = (clock.instant().toEpochMilli() - millisUntilGrant) * 1020 / 1000;
      boolean expired = grantorElapsedMillis >= TTL.toMillis();
      boolean heldWithoutDriftBound =
          clock.instant().toEpochMilli() - millisUntilGrant < TTL.toMillis();
      overlapsWithoutDriftBound += expired && heldWithoutDriftBound ? 1 : 0;
      assertThat(expired && lease.holds(clock.instant())).isFalse();
    }
    assertThat(overlapsWithoutDriftBound)
        .as("overlaps of a holder without the drift bound")
        .isPositive();
  }

  @Test
  void gateRejectsOrdersOfFormerOwner() {
    FencingGate gate = new FencingGate();
    assertThat(gate.tryAdmit(FencingNumber.of(7))).isTrue();
    assertThat(gate.tryAdmit(FencingNumber.of(9))).isTrue();
    assertThat(gate.tryAdmit(FencingNumber.of(9))).isTrue();
    assertThat(gate.tryAdmit(FencingNumber.of(7))).isFalse();
    assertThat(gate.highest()).isEqualTo(FencingNumber.of(9));
  }
}
