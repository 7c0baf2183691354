package org.waxwingcourse.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.model.id.HostId;

/** Tests that prompts which were released stay so on all hosts. */
class ReleasedPromptTest {
  private static final List<Long> RELEASED_PROMPT = List.of(1L, 1000L);

  private final Instant now = Instant.ofEpochSecond(1000);
  private final PromptQuarantine releasing = new PromptQuarantine();
  private final PromptQuarantine other = new PromptQuarantine();

  /** Lifts one of many verdicts that another host has too, then adds one more. */
  @BeforeEach
  void release() {
    for (long part = 1; part <= PromptQuarantine.MAX_VERDICTS; part++) {
      releasing.add(Set.of(part), now);
    }
    releasing.entries().forEach(other::merge);
    releasing.recordSound(new RunId(HostId.of("host"), 1), RELEASED_PROMPT, now);
    releasing.add(Set.of(PromptQuarantine.MAX_VERDICTS + 1L), now);
  }

  /** A host that has not heard of the release still has the entry as it was. */
  @Test
  void releasedPromptIsNotRefusedAgainOnceThereAreMoreVerdictsThanEntries() {
    other.entries().forEach(releasing::merge);
    assertThat(releasing.isQuarantined(RELEASED_PROMPT)).isFalse();
  }

  /** Hosts that do not come to agree send all their entries with every message. */
  @Test
  void hostsAgreeAfterMoreVerdictsThanEntries() {
    for (int i = 0; i < 10; i++) {
      List<QuarantinedPrompt> sent = releasing.entries();
      other.entries().forEach(releasing::merge);
      sent.forEach(other::merge);
    }
    assertThat(other.digest()).isEqualTo(releasing.digest());
  }
}
