package org.waxwingcourse.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.model.time.Deadline;

/** Tests the times of entries that hosts send one another. */
class QuarantineCodecTest {
  private static final List<Long> PROMPT = List.of(1L, 2L);

  /** A host whose clock was ahead made the others refuse a prompt for as long as it was ahead. */
  @Test
  void clockThatIsAheadDoesNotDelayTheRequestLetThrough() {
    Instant steady = Instant.ofEpochSecond(500);
    Instant wall = Instant.ofEpochSecond(1000);
    Deadline probeAt = Deadline.at(steady.plus(PromptQuarantine.FIRST_PROBE_DELAY));
    QuarantinedPrompt entry = new QuarantinedPrompt(Set.of(1L), 1, 0, false, probeAt);
    PromptQuarantine receiver = new PromptQuarantine();
    ClockReading ahead = new ClockReading(steady, wall.plus(Duration.ofMinutes(5)));
    ClockReading own = new ClockReading(steady, wall);
    QuarantineCodec.decode(QuarantineCodec.encode(List.of(entry), ahead), own)
        .forEach(receiver::merge);
    assertThat(receiver.isQuarantined(PROMPT)).isTrue();
    assertThat(receiver.refusedUntil(PROMPT, probeAt.at())).isEmpty();
  }
}
