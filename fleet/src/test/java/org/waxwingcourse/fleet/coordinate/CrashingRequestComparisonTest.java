package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.fleet.coordinate.CrashReplay.Cause;
import org.waxwingcourse.fleet.coordinate.CrashReplay.Scenario;

/** Replays requests under which engines crash in fleets of several sizes. */
class CrashingRequestComparisonTest {
  private static final int SEEDS = Integer.getInteger("waxwing.blame.seeds", 5);
  private static final int CRASHES_BEFORE_KNOWN = 3;
  private static final int MAX_SENT_WHEN_KNOWN = 3;

  /** Sound requests refused for a fault of another one, as a share of all. */
  private static final double MAX_BLAMED = 0.01;

  @ParameterizedTest
  @CsvSource({
    "REQUEST, 4, 1, 1, 14, 1",
    "REQUEST, 8, 1, 1, 28, 1",
    "REQUEST, 42, 1, 1, 150, 1",
    "REQUEST_AFTER_EVENTS, 8, 1, 1, 28, 1",
    "REQUEST, 8, 1, 1, 28, 4",
    "REQUEST, 42, 1, 1, 150, 7",
    "REQUEST, 8, 5, 2, 28, 1",
    "REQUEST, 42, 5, 2, 150, 1",
    "REQUEST, 42, 20, 4, 150, 1",
    "REQUEST, 8, 20, 4, 28, 1"
  })
  void requestsThatCrashEnginesAreKeptFromThem(
      Cause cause, int engines, int causes, double crashing, double sound, int copies) {
    Scenario scenario = new Scenario(cause, engines, causes, crashing, sound, copies, true);
    int sent = 0;
    List<Integer> crashes = new ArrayList<>();
    double served = 0;
    double blamed = 0;
    long bystander = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      CrashReplay replay = new CrashReplay(scenario, seed).run();
      sent = Math.max(sent, replay.sentWhenKnown(CRASHES_BEFORE_KNOWN));
      crashes.addAll(replay.crashCounts());
      served += replay.soundServed() / SEEDS;
      blamed += replay.soundBlamed() / SEEDS;
      bystander += replay.meanBystanderTime().toMillis() / SEEDS;
    }
    System.out.printf(
        "%s engines %d causes %d copies %d: crashes of a cause %.1f to %d, sent when known %d,"
            + " sound served %.4f, blamed %.4f, with a crash %d ms%n",
        cause,
        engines,
        causes,
        copies,
        crashes.stream().mapToInt(i -> i).average().orElse(0),
        crashes.stream().mapToInt(i -> i).max().orElse(0),
        sent,
        served,
        blamed,
        bystander);
    assertThat(sent).isLessThanOrEqualTo(MAX_SENT_WHEN_KNOWN);
    assertThat(blamed).isLessThan(MAX_BLAMED);
  }
}
