package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.time.ManualClock;

class FreshnessEvidenceTest {
  private static final Duration LIMIT = Duration.ofMillis(4500);

  private final ManualClock steady = ManualClock.at(Instant.ofEpochSecond(1));
  private final ManualClock wall = ManualClock.at(Instant.ofEpochSecond(1_000_000));
  private final Clocks clocks = new Clocks(steady, wall);
  private final FreshnessEvidence evidence = new FreshnessEvidence(clocks, () -> {});

  private void advanceClocks(Duration time) {
    steady.advance(time);
    wall.advance(time);
  }

  @Test
  void nothingIsProvedBeforeTheFirstRead() {
    assertThat(evidence.isWithin(LIMIT)).isFalse();
    assertThat(evidence.age()).isEmpty();
  }

  @Test
  void ageOfAProofCountsFromSendingTheRead() {
    ClockReading sentAt = clocks.now();
    advanceClocks(Duration.ofSeconds(2));
    evidence.recordOwnRead(sentAt);
    assertThat(evidence.age().get()).isEqualTo(Duration.ofSeconds(2));
  }

  @Test
  void suspensionOfTheMachineAgesTheEvidence() {
    evidence.recordOwnRead(clocks.now());
    wall.advance(Duration.ofSeconds(5));
    assertThat(evidence.isWithin(LIMIT)).isFalse();
  }

  @Test
  void wallClockSetBackDoesNotHideElapsedTime() {
    evidence.recordOwnRead(clocks.now());
    steady.advance(Duration.ofSeconds(5));
    wall.advance(Duration.ofSeconds(-2));
    assertThat(evidence.isWithin(LIMIT)).isFalse();
  }

  @Test
  void olderPeerProofDoesNotReplaceANewerOne() {
    evidence.recordOwnRead(clocks.now());
    evidence.recordPeerProof(clocks.now().minus(Duration.ofSeconds(10)));
    assertThat(evidence.age().get()).isZero();
    assertThat(evidence.isOwnReadWithin(Duration.ofSeconds(1))).isTrue();
  }

  @Test
  void peerProofDoesNotCountAsOwnRead() {
    evidence.recordPeerProof(clocks.now());
    assertThat(evidence.isWithin(LIMIT)).isTrue();
    assertThat(evidence.isOwnReadWithin(LIMIT)).isFalse();
  }
}
