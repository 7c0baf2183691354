package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Replays what refused callers are told and how they are served under Deployment B's load. */
class RefusedCallersTest {
  private static final int SEEDS = 6;
  private static final Duration FROM = Duration.ofSeconds(8);
  private static final Duration UNTIL = Duration.ofSeconds(10);
  private static final String PROPERTY_SEED = "7";

  private static List<OnlineReplay.Call> callsDuringOutage(long seed) {
    OnlineReplay replay =
        new OnlineReplay(true, List.of(), seed)
            .withOutage(new OnlineReplay.Outage(FROM, UNTIL))
            .run(Duration.ofSeconds(12));
    return replay.calls.stream()
        .filter(c -> !c.sentAt.isBefore(OnlineReplay.START.plus(FROM)))
        .filter(c -> c.sentAt.isBefore(OnlineReplay.START.plus(UNTIL)))
        .toList();
  }

  /**
   * Guards against callers being told a time at which the engines are still gone: a caller returns
   * once. One that is refused with 5 s left follows times up to 1.6 s, so four fifths of the
   * callers refused in an outage of 2 s can return after it.
   */
  @Test
  void callersRefusedWhileAllEnginesAreGoneReturnAfterTheEngines() {
    int sent = 0;
    int inTime = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      List<OnlineReplay.Call> calls = callsDuringOutage(seed);
      sent += calls.size();
      inTime += (int) calls.stream().filter(c -> c.inTime).count();
    }
    System.out.printf("%d of %d callers refused in an outage served in time%n", inTime, sent);
    assertThat(inTime).isGreaterThanOrEqualTo(3 * sent / 4);
  }

  /** Guards the queue under a flood of one organisation, whatever is told to refused callers. */
  @Property(tries = 12, seed = PROPERTY_SEED)
  void slotsAreNeverExceededNorLeftFreeAndEachRequestIsDecidedOnce(
      @ForAll @LongRange(min = 0, max = 1000) long seed,
      @ForAll @IntRange(min = 0, max = OnlineReplay.ORGANISATIONS - 1) int organisation,
      @ForAll @DoubleRange(min = 3, max = 12) double factor) {
    OnlineReplay.Burst burst =
        new OnlineReplay.Burst(organisation, factor, Duration.ofSeconds(3), Duration.ofSeconds(7));
    OnlineReplay replay = new OnlineReplay(true, List.of(burst), seed).run(Duration.ofSeconds(8));
    assertThat(replay.maxRuns).isLessThanOrEqualTo(OnlineReplay.SLOTS);
    assertThat(replay.idleWithWaiting).as("slots without online runs while some wait").isZero();
    assertThat(replay.calls).allMatch(c -> c.decisions == c.attempts, "one decision an attempt");
    assertThat(replay.partInTime(c -> c.organisation).values())
        .allMatch(p -> p > 0, "no organisation starves");
    assertThat(replay.partInTime(c -> c.dataCentre).values())
        .allMatch(p -> p > 0, "no data centre starves");
    assertThat(replay.statedDelays)
        .allMatch(d -> d.compareTo(Duration.ofMillis(30)) >= 0, "at least 30 ms");
  }
}
