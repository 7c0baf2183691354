package org.waxwingcourse.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;

/** Tests that the quarantine outlives a restart of all hosts. */
class QuarantineKeeperTest {
  private static final List<Long> PROMPT = List.of(1L, 2L, 3L);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final MemoryStore store = MemoryStore.of(InstantSource.system());
  private final PromptQuarantine quarantine = new PromptQuarantine();
  private final CrashingRequests requests = new CrashingRequests();
  private final QuarantineKeeper keeper = new QuarantineKeeper(store, quarantine, requests, clocks);

  private List<Entry> stored() {
    return store.read(KeyRange.ofPrefix(StoreKeys.FLEET_PREFIX)).join().get().entries();
  }

  private PromptQuarantine restarted() {
    PromptQuarantine next = new PromptQuarantine();
    new QuarantineKeeper(store, next, new CrashingRequests(), clocks).restore(stored());
    return next;
  }

  private void save(QuarantineKeeper saving) {
    clock.advance(Duration.ofSeconds(2));
    saving.saveIfChanged();
  }

  @Test
  void hostThatStartsRefusesWhatWasRefusedBeforeTheRestart() {
    quarantine.add(Set.of(2L), clock.instant());
    save(keeper);
    assertThat(restarted().isQuarantined(PROMPT)).isTrue();
    assertThat(restarted().digest()).isEqualTo(quarantine.digest());
  }

  @Test
  void liftedQuarantineStaysLiftedAfterARestart() {
    quarantine.add(Set.of(2L), clock.instant());
    save(keeper);
    quarantine.recordSound(new RunId(HostId.of("host"), 1), PROMPT, clock.instant());
    save(keeper);
    assertThat(restarted().isQuarantined(PROMPT)).isFalse();
  }

  @Test
  void unchangedQuarantineIsNotWrittenAgain() {
    quarantine.add(Set.of(2L), clock.instant());
    save(keeper);
    var modified = stored().get(0).modified();
    save(keeper);
    assertThat(stored().get(0).modified()).isEqualTo(modified);
  }

  @Test
  void twoCoordinatorsKeepEachOthersEntries() {
    PromptQuarantine others = new PromptQuarantine();
    QuarantineKeeper otherKeeper =
        new QuarantineKeeper(store, others, new CrashingRequests(), clocks);
    quarantine.add(Set.of(2L), clock.instant());
    others.add(Set.of(7L), clock.instant());
    save(keeper);
    save(otherKeeper);
    save(otherKeeper);
    assertThat(restarted().isQuarantined(PROMPT)).isTrue();
    assertThat(restarted().isQuarantined(List.of(7L, 8L))).isTrue();
    assertThat(others.isQuarantined(PROMPT)).isTrue();
  }

  @Test
  void writeThatTheStoreRefusedIsRepeated() {
    quarantine.add(Set.of(2L), clock.instant());
    store.setFaults(store.faults().withOutage(StoreFaults.Outage.REFUSING));
    save(keeper);
    store.setFaults(StoreFaults.NONE);
    save(keeper);
    assertThat(restarted().isQuarantined(PROMPT)).isTrue();
  }

  @Test
  void hostThatStartsRefusesRequestsUnderWhichEnginesEndedBeforeTheRestart() {
    RequestFingerprint request = new RequestFingerprint(1, 2, 3);
    for (int i = 0; i < CrashingRequests.BREAKS_FOR_VERDICT; i++) {
      requests.recordCrash(request, i, clock.instant());
      save(keeper);
    }
    CrashingRequests next = new CrashingRequests();
    new QuarantineKeeper(store, new PromptQuarantine(), next, clocks).restore(stored());
    assertThat(next.refusedUntil(request, clock.instant()).isDefined()).isTrue();
  }
}
