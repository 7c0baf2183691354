package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.time.ManualClock;

class EvidenceTest {
  private static final Duration LIMIT = Duration.ofMillis(4500);

  private final ManualClock steady = ManualClock.at(Instant.ofEpochSecond(1));
  private final ManualClock wall = ManualClock.at(Instant.ofEpochSecond(1_000_000));
  private final Clocks clocks = new Clocks(steady, wall);
  private final Evidence evidence = new Evidence(clocks);

  private void pass(Duration time) {
    steady.advance(time);
    wall.advance(time);
  }

  @Test
  void nothingIsTrustedBeforeTheFirstProof() {
    assertThat(evidence.isWithin(LIMIT)).isFalse();
    assertThat(evidence.age()).isEmpty();
  }

  @Test
  void aProofCountsFromWhenItWasAskedFor() {
    Stamp asked = clocks.now();
    pass(Duration.ofSeconds(2));
    evidence.confirmOwn(asked);
    assertThat(evidence.age().get()).isEqualTo(Duration.ofSeconds(2));
  }

  @Test
  void aSuspendedMachineSeesItsEvidenceAge() {
    evidence.confirmOwn(clocks.now());
    wall.advance(Duration.ofSeconds(5));
    assertThat(evidence.isWithin(LIMIT)).isFalse();
  }

  @Test
  void aWallClockSetBackHidesNothing() {
    evidence.confirmOwn(clocks.now());
    steady.advance(Duration.ofSeconds(5));
    wall.advance(Duration.ofSeconds(-2));
    assertThat(evidence.isWithin(LIMIT)).isFalse();
  }

  @Test
  void anOlderVouchedProofDoesNotReplaceANewerOne() {
    evidence.confirmOwn(clocks.now());
    evidence.confirmVouched(clocks.now().minus(Duration.ofSeconds(10)));
    assertThat(evidence.age().get()).isZero();
    assertThat(evidence.ownIsWithin(Duration.ofSeconds(1))).isTrue();
  }

  @Test
  void vouchedProofIsNotThisHostsOwnContact() {
    evidence.confirmVouched(clocks.now());
    assertThat(evidence.isWithin(LIMIT)).isTrue();
    assertThat(evidence.ownIsWithin(LIMIT)).isFalse();
  }
}
