package org.waxwingcourse.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.time.Deadline;

/** Tests which requests the quarantine refuses, and how it ends. */
class PromptQuarantineTest {
  private static final long SHARED = 1;
  private static final long CRASHING = 2;
  private static final List<Long> PROMPT = List.of(SHARED, CRASHING, 30L);
  private static final List<Long> SOUND_PROMPT = List.of(SHARED, 4L, 31L);

  private final PromptQuarantine quarantine = new PromptQuarantine();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  private RunId newRun() {
    return new RunId(HostId.of("host"), ++lastNumber);
  }

  private boolean isRefused(List<Long> prompt) {
    return quarantine.admit(newRun(), prompt, now).isDefined();
  }

  /** Lets a request through once it may run, and ends its run without an event. */
  private void probe(boolean crashed) {
    RunId run = newRun();
    assertThat(quarantine.admit(run, PROMPT, now).isEmpty()).isTrue();
    quarantine.recordEndWithoutEvent(run, crashed, now);
  }

  @Test
  void onlyPromptsWithAllPartsOfAVerdictAreRefused() {
    quarantine.add(Set.of(SHARED, CRASHING), now);
    assertThat(isRefused(PROMPT)).isTrue();
    assertThat(isRefused(SOUND_PROMPT)).isFalse();
    assertThat(isRefused(List.of(CRASHING))).isFalse();
  }

  @Test
  void soundRunNarrowsAVerdictOnSeveralParts() {
    quarantine.add(Set.of(SHARED, CRASHING), now);
    quarantine.recordSound(newRun(), SOUND_PROMPT, now);
    assertThat(isRefused(List.of(5L, CRASHING, 32L))).isTrue();
    assertThat(isRefused(SOUND_PROMPT)).isFalse();
  }

  @Test
  void narrowerVerdictReplacesAWiderOne() {
    quarantine.add(Set.of(SHARED, CRASHING), now);
    quarantine.add(Set.of(CRASHING), now);
    assertThat(quarantine.entries().stream().filter(e -> !e.lifted()))
        .extracting(QuarantinedPrompt::parts)
        .containsExactly(Set.of(CRASHING));
    assertThat(quarantine.add(Set.of(SHARED, CRASHING), now).isEmpty()).isTrue();
  }

  @Test
  void requestsLetThroughGetRarerWhileEnginesCrash() {
    quarantine.add(Set.of(CRASHING), now);
    List<Duration> pauses = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Instant before = now;
      while (quarantine.refusedUntil(PROMPT, now).isDefined()) {
        now = now.plusSeconds(1);
      }
      pauses.add(Duration.between(before, now));
      probe(true);
      assertThat(isRefused(PROMPT)).isTrue();
    }
    Duration first = PromptQuarantine.FIRST_PROBE_DELAY;
    Duration second = first.multipliedBy(PromptQuarantine.DELAY_FACTOR);
    assertThat(pauses)
        .containsExactly(first, second, second.multipliedBy(PromptQuarantine.DELAY_FACTOR));
  }

  /** An engine that ended for another reason under a probe made accepted items expire. */
  @Test
  void itemOutlivesACrashOfAnotherCauseUnderTheRequestLetThrough() {
    Instant expiresAt = now.plusSeconds(60);
    quarantine.add(Set.of(CRASHING), now);
    now = now.plus(PromptQuarantine.FIRST_PROBE_DELAY);
    probe(true);
    assertThat(quarantine.refusedUntil(PROMPT, expiresAt)).isEmpty();
  }

  @Test
  void wrongVerdictEndsWithTheFirstRequestLetThrough() {
    quarantine.add(Set.of(SHARED), now);
    now = now.plus(PromptQuarantine.FIRST_PROBE_DELAY);
    RunId run = newRun();
    assertThat(quarantine.admit(run, SOUND_PROMPT, now).isEmpty()).isTrue();
    assertThat(isRefused(SOUND_PROMPT)).isTrue();
    quarantine.recordSound(run, SOUND_PROMPT, now);
    assertThat(isRefused(SOUND_PROMPT)).isFalse();
  }

  @Test
  void requestLetThroughThatDidNotRunIsFollowedByAnother() {
    quarantine.add(Set.of(CRASHING), now);
    now = now.plus(PromptQuarantine.FIRST_PROBE_DELAY);
    probe(false);
    now = now.plusSeconds(1);
    probe(true);
    now = now.plusSeconds(1);
    assertThat(isRefused(PROMPT)).isTrue();
  }

  @Test
  void requestLetThroughOfWhichNothingIsHeardIsFollowedByAnother() {
    quarantine.add(Set.of(CRASHING), now);
    now = now.plus(PromptQuarantine.FIRST_PROBE_DELAY);
    assertThat(isRefused(PROMPT)).isFalse();
    PromptQuarantine next = new PromptQuarantine();
    quarantine.entries().forEach(next::merge);
    assertThat(next.refusedUntil(PROMPT, now)).isNotEmpty();
    now = now.plus(PromptQuarantine.UNKNOWN_PROBE_DELAY);
    assertThat(next.refusedUntil(PROMPT, now)).isEmpty();
    assertThat(isRefused(PROMPT)).isFalse();
  }

  @Test
  void repeatedMessageOfARequestLetThroughIsNotRefused() {
    quarantine.add(Set.of(CRASHING), now);
    now = now.plus(PromptQuarantine.FIRST_PROBE_DELAY);
    RunId run = newRun();
    assertThat(quarantine.admit(run, PROMPT, now).isEmpty()).isTrue();
    assertThat(quarantine.admit(run, PROMPT, now).isEmpty()).isTrue();
  }

  @Test
  void liftedEntryIsNotTakenBackFromAHostThatStillHasTheOldOne() {
    quarantine.add(Set.of(CRASHING), now);
    List<QuarantinedPrompt> old = quarantine.entries();
    quarantine.recordSound(newRun(), PROMPT, now);
    old.forEach(quarantine::merge);
    assertThat(isRefused(PROMPT)).isFalse();
  }

  /** Hosts of an earlier version count a request that is let through before its engine crashes. */
  @Test
  void entryOfAnEarlierVersionHoldsAndIsReplacedByANewerOne() {
    Instant probeAt = now.plusSeconds(60);
    quarantine.merge(new QuarantinedPrompt(Set.of(CRASHING), 2, 1, false, Deadline.at(probeAt)));
    assertThat(quarantine.refusedUntil(PROMPT, now)).contains(probeAt);
    now = probeAt;
    assertThat(isRefused(PROMPT)).isFalse();
    QuarantinedPrompt entry = quarantine.entries().get(0);
    assertThat(entry.version()).isGreaterThan(2);
    assertThat(entry.probes()).isEqualTo(1);
  }

  @Test
  void hostsWithTheSameEntriesHaveTheSameDigest() {
    PromptQuarantine other = new PromptQuarantine();
    assertThat(quarantine.digest()).isZero();
    quarantine.add(Set.of(CRASHING), now);
    assertThat(other.digest()).isNotEqualTo(quarantine.digest());
    quarantine.entries().forEach(other::merge);
    assertThat(other.digest()).isEqualTo(quarantine.digest());
    quarantine.recordSound(newRun(), PROMPT, now);
    assertThat(other.digest()).isNotEqualTo(quarantine.digest());
  }

  @Test
  void numberOfEntriesIsBounded() {
    quarantine.add(Set.of(CRASHING), now);
    for (long part = 100; part < 1100; part++) {
      quarantine.add(Set.of(part), now);
      assertThat(isRefused(PROMPT)).isTrue();
    }
    assertThat(quarantine.entries().stream().filter(e -> !e.lifted()))
        .hasSize(PromptQuarantine.MAX_VERDICTS);
    assertThat(quarantine.entries()).hasSize(PromptQuarantine.MAX_ENTRIES);
  }

  /** Verdicts that had been lifted came back from other hosts once there were many. */
  @Test
  void liftedEntriesDoNotComeBackThoughThereAreMany() {
    PromptQuarantine other = new PromptQuarantine();
    for (long part = 100; part < 300; part++) {
      quarantine.add(Set.of(part), now);
      quarantine.entries().forEach(other::merge);
      quarantine.recordSound(newRun(), List.of(part, 1L), now);
    }
    for (int i = 0; i < 3; i++) {
      other.entries().forEach(quarantine::merge);
      quarantine.entries().forEach(other::merge);
    }
    assertThat(quarantine.entries()).allMatch(QuarantinedPrompt::lifted);
    assertThat(other.digest()).isEqualTo(quarantine.digest());
  }

  /** Hosts that could not hold all entries sent them to each other without end. */
  @Test
  void hostsAgreeThoughThereAreMoreEntriesThanTheyHold() {
    PromptQuarantine other = new PromptQuarantine();
    for (long part = 0; part < 2 * PromptQuarantine.MAX_ENTRIES; part++) {
      (part % 2 == 0 ? quarantine : other).add(Set.of(part), now);
    }
    for (int i = 0; i < 3; i++) {
      other.entries().forEach(quarantine::merge);
      quarantine.entries().forEach(other::merge);
    }
    assertThat(other.digest()).isEqualTo(quarantine.digest());
  }
}
