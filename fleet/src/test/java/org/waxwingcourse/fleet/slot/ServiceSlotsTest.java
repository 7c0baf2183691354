package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;

/** Load patterns against the sharing out of slots. */
class ServiceSlotsTest {
  private static final int ENGINES = 6;
  private static final int SLOTS = 8;
  private static final double MEAN_RATE = 29;

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 2, 3, 4})
  void peaksOfTwiceTheMeanStartAtOnceWhileBatchFillsTheTroughs(long seed) {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, seed);
    s.batch(200);
    for (int period = 0; period < 4; period++) {
      Duration start = Duration.ofMillis(6600L * period);
      s.online(start, start.plusMillis(3800), 0.377 * MEAN_RATE);
      s.online(start.plusMillis(3800), start.plusMillis(6600), 1.84 * MEAN_RATE);
    }
    s.run(Duration.ofSeconds(26));
    assertThat(s.refusals).hasSizeLessThanOrEqualTo(s.waits.size() / 100);
    assertThat(s.waits).allMatch(w -> w.compareTo(SlotSimulation.OBJECTIVE_WAIT) <= 0);
    assertThat(s.grantedBatch).isGreaterThan(ENGINES * SLOTS);
    assertThat(s.fullestEngine).isLessThanOrEqualTo(SLOTS);
  }

  @ParameterizedTest
  @CsvSource({"6, 54, 0", "6, 54, 1", "62, 500, 0", "62, 500, 1"})
  void aFewSlotsKeptFreeSpareBatchMostCutsAndLeaveItMoreWork(int engines, double rate, long seed) {
    SlotSimulation kept = steady(new SlotSimulation(engines, SLOTS, seed), rate);
    SlotSimulation none =
        steady(new SlotSimulation(engines, SLOTS, seed, YieldReserve.none()), rate);
    System.out.printf(
        "%d engines: cuts %d against %d, batch work %d s against %d s%n",
        engines, kept.yields, none.yields, kept.batchWork.toSeconds(), none.batchWork.toSeconds());
    assertThat(kept.yields).isLessThan(none.yields * 2 / 3);
    assertThat(kept.batchWork).isGreaterThan(none.batchWork);
    assertThat(kept.refusals).hasSameSizeAs(none.refusals);
  }

  private static SlotSimulation steady(SlotSimulation s, double rate) {
    Duration span = Duration.ofSeconds(20);
    s.online(Duration.ZERO, span, rate);
    s.batch(2000);
    s.run(span);
    return s;
  }

  @Test
  void onlineTakesABatchSlotAtOnce() {
    SlotSimulation s = new SlotSimulation(1, 2, 0);
    s.batch(4);
    assertThat(s.grantedBatch).isEqualTo(2);
    s.offer(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    assertThat(s.waits).containsExactly(Duration.ZERO);
    assertThat(s.yields).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 2})
  void whatCannotStartInTimeIsRefusedWhenItComes(long seed) {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, seed);
    s.online(Duration.ZERO, Duration.ofSeconds(4), 2 * 67);
    s.run(Duration.ofSeconds(4));
    long late =
        s.waits.stream().filter(w -> w.compareTo(SlotSimulation.OBJECTIVE_WAIT) > 0).count();
    assertThat(s.refusals).isNotEmpty();
    assertThat(late).isLessThan(s.waits.size() / 20);
    assertThat(s.refusals)
        .allMatch(r -> r.retryAt().isAfter(r.request().askedAt()), "a time to come back");
  }

  @Test
  void nothingIsRefusedWhileSlotsAreFree() {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, 0);
    for (int i = 0; i < ENGINES * SLOTS; i++) {
      s.offer(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    }
    assertThat(s.refusals).isEmpty();
    assertThat(s.waits).hasSize(ENGINES * SLOTS).allMatch(Duration::isZero);
  }

  @Test
  void anEngineThatIsLostGetsNothingUntilAProbeSucceeds() {
    SlotSimulation s = new SlotSimulation(2, SLOTS, 0);
    s.offer(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.lose(0);
    s.lose(1);
    s.offer(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.offer(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    assertThat(s.waits).hasSize(3);
    assertThat(s.load.values().stream().filter(n -> n > 0)).hasSize(1);
  }

  @Test
  void batchRunsOfAnotherCoordinatorGiveWayToo() {
    SlotSimulation s = new SlotSimulation(1, 2, 0);
    for (long n = 100; n < 102; n++) {
      RunId adopted = new RunId(HostId.of("other"), n);
      s.slots.adopt(adopted, UpstreamId.of("engine-0"), false, s.now);
    }
    s.offer(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    assertThat(s.refusals).isEmpty();
    assertThat(s.waits).containsExactly(Duration.ZERO);
  }

  @Test
  void itemsThatCanBeInTimeGoBeforeThoseThatCannot() {
    SlotSimulation s = new SlotSimulation(1, 1, 0);
    s.offer(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.offer(WorkClass.BATCH, Duration.ofMillis(100));
    s.offer(WorkClass.BATCH, Duration.ofSeconds(5));
    s.run(Duration.ofSeconds(1));
    assertThat(s.started).containsExactly(1L, 3L);
  }

  @Test
  void aRequestThatIsSentTwiceIsDecidedOnce() {
    SlotSimulation s = new SlotSimulation(1, 1, 0);
    SlotRequest first = s.request(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    SlotRequest second = s.request(WorkClass.BATCH, Duration.ofSeconds(18));
    assertThat(s.slots.offer(first, s.now)).hasSize(1);
    assertThat(s.slots.offer(second, s.now)).isEmpty();
    assertThat(s.slots.offer(first, s.now))
        .as("the grant may have been lost")
        .containsExactly(new Decision.Grant(first, UpstreamId.of("engine-0")));
    assertThat(s.slots.offer(second, s.now)).isEmpty();
    assertThat(s.slots.load(s.now).batchWaiting()).isEqualTo(1);
  }

  @Test
  void aRunWhoseEndWasLostFreesItsSlotOnceItsHostNoLongerNamesIt() {
    SlotSimulation s = new SlotSimulation(1, 1, 0);
    SlotRequest first = s.request(WorkClass.ONLINE, SlotSimulation.OBJECTIVE_WAIT);
    s.slots.offer(first, s.now);
    HostId host = first.id().host();
    assertThat(s.slots.retain(host, Set.of(), s.now)).isEmpty();
    assertThat(s.slots.load(s.now).online()).as("it may not know of the grant").isEqualTo(1);
    s.slots.retain(host, Set.of(first.id()), s.now.plusSeconds(5));
    assertThat(s.slots.load(s.now).online()).isEqualTo(1);
    s.slots.retain(host, Set.of(), s.now.plusSeconds(5));
    assertThat(s.slots.load(s.now).online()).isZero();
  }
}
