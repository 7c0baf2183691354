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

  /** The grantor's clock runs fast by the bound, calls lag, and the holder pauses at random. */
  @Test
  void holderHasStoppedBeforeTheGrantorLetsAnotherIn() {
    Random random = new Random(6);
    int naiveOverlaps = 0;
    for (int i = 0; i < 2000; i++) {
      ManualClock clock = ManualClock.at(Instant.EPOCH);
      Instant asked = clock.instant();
      long toGrant = random.nextInt(3000);
      HeldLease lease = HeldLease.of(asked, Deadline.after(clock, TTL), ClockDrift.FLEET);
      clock.advance(Duration.ofMillis(toGrant + random.nextInt(3000)));
      clock.advance(Duration.ofMillis(random.nextInt(150_000)));
      long grantorElapsed = (clock.instant().toEpochMilli() - toGrant) * 1020 / 1000;
      boolean lapsed = grantorElapsed >= TTL.toMillis();
      boolean naive = clock.instant().toEpochMilli() - toGrant < TTL.toMillis();
      naiveOverlaps += lapsed && naive ? 1 : 0;
      assertThat(lapsed && lease.holds(clock.instant())).isFalse();
    }
    assertThat(naiveOverlaps).as("overlaps of a holder without the drift bound").isPositive();
  }

  @Test
  void gateRefusesFormerOwner() {
    FencingGate gate = new FencingGate();
    assertThat(gate.tryAdmit(FencingNumber.of(7))).isTrue();
    assertThat(gate.tryAdmit(FencingNumber.of(9))).isTrue();
    assertThat(gate.tryAdmit(FencingNumber.of(9))).isTrue();
    assertThat(gate.tryAdmit(FencingNumber.of(7))).isFalse();
    assertThat(gate.highest()).isEqualTo(FencingNumber.of(9));
  }
}
