package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;

/** Replays reports of silent engines, from a host that is itself late and from sound hosts. */
class EngineVerdictTest {
  private static final int ENGINES = 12;
  private static final int SLOTS = 8;
  private static final HostId LATE = HostId.of("late");

  private final SlotScheduler scheduler = new SlotScheduler();
  private final Map<RunId, UpstreamId> runs = new HashMap<>();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;

  @BeforeEach
  void listEngines() {
    List<EngineEntry> entries = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      entries.add(SlotSimulation.engine("engine-" + i, SLOTS, false));
    }
    scheduler.setEngines(entries, SLOTS, now);
  }

  private void start(HostId host) {
    RunId id = new RunId(host, ++lastNumber);
    SlotRequest request = SlotSimulation.onlineRequest(id, Set.of(), now);
    for (SlotDecision decision : scheduler.submit(request, now)) {
      runs.put(id, ((SlotDecision.Grant) decision).engine());
    }
  }

  private List<RunId> runsOf(HostId host) {
    return runs.keySet().stream().filter(r -> r.host().equals(host)).toList();
  }

  private void reportSilent(RunId id) {
    now = now.plusMillis(10);
    scheduler.recordSilence(id, now);
    scheduler.endRun(id, RunEnd.of(RunEnd.How.ENGINE_LOST), now);
  }

  private int usableSlots() {
    return scheduler.load(now).slots();
  }

  @Test
  void hostThatFindsAllItsEnginesSilentEjectsNone() {
    for (int i = 0; i < ENGINES; i++) {
      start(LATE);
      start(HostId.of("sound-" + i));
    }
    runsOf(LATE).forEach(this::reportSilent);
    assertThat(usableSlots()).isEqualTo(ENGINES * SLOTS);
  }

  @Test
  void manyHostsThatRestartTogetherDoNotEjectAllEngines() {
    for (int host = 0; host < 20; host++) {
      for (int i = 0; i < 4; i++) {
        start(HostId.of("late-" + host));
      }
    }
    List.copyOf(runs.keySet()).forEach(this::reportSilent);
    assertThat(usableSlots()).isGreaterThanOrEqualTo(ENGINES * SLOTS / 3);
  }

  @Test
  void silentEngineIsEjectedByTheFirstReportOfASoundHost() {
    for (int i = 0; i < 5 * ENGINES; i++) {
      start(HostId.of("sound-" + i % 5));
    }
    UpstreamId dark = UpstreamId.of("engine-3");
    RunId onDark =
        runs.keySet().stream().filter(r -> runs.get(r).equals(dark)).findFirst().orElseThrow();
    scheduler.recordSilence(onDark, now);
    assertThat(usableSlots()).isEqualTo((ENGINES - 1) * SLOTS);
  }

  @Test
  void quarterOfTheEnginesLostTogetherIsEjected() {
    for (int i = 0; i < 5 * ENGINES; i++) {
      start(HostId.of("sound-" + i % 5));
    }
    Set<UpstreamId> dark =
        Set.of(UpstreamId.of("engine-1"), UpstreamId.of("engine-4"), UpstreamId.of("engine-7"));
    runs.keySet().stream().filter(r -> dark.contains(runs.get(r))).forEach(this::reportSilent);
    assertThat(usableSlots()).isEqualTo((ENGINES - dark.size()) * SLOTS);
  }
}
