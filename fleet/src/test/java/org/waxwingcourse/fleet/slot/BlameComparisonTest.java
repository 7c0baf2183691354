package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.IntSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.fleet.slot.BlameSimulation.Result;
import org.waxwingcourse.fleet.slot.BlameSimulation.Scenario;
import org.waxwingcourse.fleet.slot.BlameSimulation.Suspects;
import org.waxwingcourse.fleet.slot.BlameSimulation.Trouble;
import org.waxwingcourse.fleet.slot.BlameSimulation.Way;

/** Compares ways to find the prompt parts under which engines crash; prints a table. */
class BlameComparisonTest {
  private static final int SEEDS = 20;
  private static final Duration LENGTH = Duration.ofSeconds(40);
  private static final Duration CRASHING_FROM = Duration.ofSeconds(8);
  private static final int LONG_SEEDS = 10;
  private static final int MAX_SENT_WHEN_KNOWN = 3;
  private static final int SOUND_PER_REFUSED = 1000;
  private static final int MAX_CRASHES_BEFORE_VERDICT = 5;

  private static final Way NOTHING =
      new Way("nothing", BlameMethod.Nothing::new, Suspects.ANYWHERE);
  private static final Way COUNT_2 =
      new Way("count 2", () -> new BlameMethod.Count(2, 0), Suspects.ANYWHERE);
  private static final Way CHOSEN = new Way("chosen", BlameMethod::product, Suspects.ANYWHERE);
  private static final Way CHOSEN_APART =
      new Way("chosen, suspects apart", BlameMethod::product, Suspects.APART);

  private static final Way CHOSEN_IN_TURN =
      new Way("chosen, suspects one at a time", BlameMethod::product, Suspects.ONE_AT_A_TIME);

  private static final List<Way> WAYS =
      List.of(
          NOTHING,
          COUNT_2,
          new Way("count 3", () -> new BlameMethod.Count(3, 0), Suspects.ANYWHERE),
          new Way("count 5", () -> new BlameMethod.Count(5, 0), Suspects.ANYWHERE),
          new Way("count 3 net of good runs", () -> new BlameMethod.Count(3, 1), Suspects.ANYWHERE),
          new Way("intersection", BlameMethod.Intersection::new, Suspects.ANYWHERE),
          new Way("intersection, suspects apart", BlameMethod.Intersection::new, Suspects.APART),
          CHOSEN,
          CHOSEN_APART,
          CHOSEN_IN_TURN);

  private static Scenario crashing(String name, int engines, int firstParts, double load) {
    return crashing(name, engines, 7, firstParts, 1, 1, load, CRASHING_FROM);
  }

  private static Scenario crashing(
      String name,
      int engines,
      int hosts,
      int firstParts,
      int parts,
      double perSecond,
      double load,
      Duration from) {
    return new Scenario(
        name, engines, hosts, firstParts, parts, perSecond, load, 0.02, Trouble.NONE, from, LENGTH);
  }

  private static Scenario trouble(
      String name, int engines, double load, double lostAnswers, Trouble trouble, Duration length) {
    return new Scenario(
        name, engines, 7, 10, 0, 0, load, lostAnswers, trouble, Duration.ZERO, length);
  }

  /** Scenarios with one crashing part. */
  private static List<Scenario> oneCrashingPart() {
    return List.of(
        crashing("one part", 6, 10, 0.4),
        crashing("one part, first part shared by all", 6, 1, 0.4),
        crashing("one part, 40 first parts", 6, 40, 0.4),
        crashing("one part, light load", 6, 10, 0.03),
        crashing("one part, full load", 6, 10, 0.9),
        crashing("one part, from the start", 6, 7, 1, 1, 1, 0.4, Duration.ZERO),
        crashing("one part, 42 engines", 42, 10, 0.4),
        crashing("one part, 42 engines, 350 hosts", 42, 350, 10, 1, 1, 0.4, CRASHING_FROM),
        crashing("one part, 350 hosts, full load", 6, 350, 10, 1, 1, 0.9, CRASHING_FROM));
  }

  /** Scenarios with several crashing parts, frequent requests or other troubles. */
  private static List<Scenario> harderCrashingParts() {
    return List.of(
        crashing("two parts", 6, 7, 10, 2, 2, 0.4, CRASHING_FROM),
        crashing("one part, 3 a second", 6, 7, 10, 1, 3, 0.4, CRASHING_FROM),
        crashing(
            "one part, 3 a second, 42 engines, 350 hosts", 42, 350, 10, 1, 3, 0.4, CRASHING_FROM),
        new Scenario(
            "one part and mixed troubles",
            6,
            350,
            10,
            1,
            0.5,
            0.4,
            0.05,
            Trouble.MIXED,
            CRASHING_FROM,
            Duration.ofMinutes(2)));
  }

  private static List<Scenario> longTroubles() {
    Duration length = Duration.ofMinutes(5);
    return List.of(
        trouble("light load", 6, 0.04, 0.05, Trouble.MIXED, length),
        trouble("half load", 6, 0.4, 0.05, Trouble.MIXED, length),
        trouble("full load", 6, 0.9, 0.05, Trouble.MIXED, length));
  }

  private static List<Scenario> troubles() {
    return List.of(
        trouble("one engine in six ends", 42, 0.4, 0.02, Trouble.ONE_IN_SIX, LENGTH),
        trouble("a data centre ends", 42, 0.4, 0.02, Trouble.DATA_CENTRE, LENGTH),
        trouble("all engines end", 6, 0.9, 0.02, Trouble.ALL_ENGINES, LENGTH),
        trouble("engines end twice", 42, 0.9, 0.02, Trouble.TWICE, LENGTH),
        trouble("lost answers 5 %", 6, 0.4, 0.05, Trouble.NONE, LENGTH),
        trouble("lost answers 5 %, light load", 6, 0.03, 0.05, Trouble.NONE, LENGTH),
        trouble("mixed troubles", 6, 0.4, 0.05, Trouble.MIXED, LENGTH));
  }

  private static List<Result> runAll(Scenario scenario, Way way, int seeds) {
    return IntStream.range(0, seeds)
        .mapToObj(seed -> BlameSimulation.run(scenario, way, seed))
        .toList();
  }

  /**
   * Prints a table. Cells: with crashing parts mean and most engines that end before the verdict,
   * mean of all that end, most requests sent to engines 3 s after the fifth end; then verdicts on
   * sound parts in all seeds, part of the sound requests refused. With {@code
   * -Dwaxwing.blame.seeds=20} it is that of the documentation.
   */
  @Test
  void chosenWayEndsTheCrashesWithoutRefusingSoundRequests() {
    int seeds = Integer.getInteger("waxwing.blame.seeds", 2);
    String names = WAYS.stream().map(Way::name).collect(Collectors.joining(" | "));
    System.out.println("| Scenario | " + names + " |");
    System.out.println("|---" + "|---".repeat(WAYS.size()) + "|");
    List<Scenario> scenarios = new ArrayList<>(oneCrashingPart());
    scenarios.addAll(harderCrashingParts());
    scenarios.addAll(troubles());
    for (Scenario scenario : scenarios) {
      Map<Way, List<Result>> results = new LinkedHashMap<>();
      for (Way way : WAYS) {
        results.put(way, runAll(scenario, way, seeds));
      }
      String cells =
          results.values().stream().map(r -> cell(scenario, r)).collect(Collectors.joining(" | "));
      System.out.println("| " + scenario.name() + " | " + cells + " |");
      assertThat(crashes(results.get(CHOSEN)))
          .as(scenario.name())
          .isLessThanOrEqualTo(crashes(results.get(NOTHING)) / 3);
      assertThat(soundRefused(results.get(CHOSEN)))
          .as(scenario.name())
          .isLessThanOrEqualTo(soundRefused(results.get(COUNT_2)));
    }
  }

  private static int crashes(List<Result> results) {
    return results.stream().mapToInt(Result::crashes).sum();
  }

  private static int soundRefused(List<Result> results) {
    return results.stream().mapToInt(Result::soundRefused).sum();
  }

  private static String cell(Scenario scenario, List<Result> results) {
    int sound = results.stream().mapToInt(Result::sound).sum();
    int verdicts = results.stream().mapToInt(Result::soundVerdicts).sum();
    String refused =
        String.format(Locale.ROOT, "%d, %.2f %%", verdicts, 100.0 * soundRefused(results) / sound);
    if (scenario.crashingParts() == 0) {
      return refused;
    }
    IntSummaryStatistics before =
        results.stream().mapToInt(Result::crashesBefore).summaryStatistics();
    int sentWhenKnown = results.stream().mapToInt(Result::sentWhenKnown).max().orElse(0);
    return String.format(
        Locale.ROOT,
        "%.1f to %d, %.1f, %d; %s",
        before.getAverage(),
        before.getMax(),
        (double) crashes(results) / results.size(),
        sentWhenKnown,
        refused);
  }

  @ParameterizedTest
  @MethodSource("oneCrashingPart")
  void fewEnginesEndBeforeThePartIsFound(Scenario scenario) {
    assertThat(runAll(scenario, CHOSEN, SEEDS))
        .allSatisfy(
            r -> assertThat(r.crashesBefore()).isLessThanOrEqualTo(MAX_CRASHES_BEFORE_VERDICT));
  }

  @ParameterizedTest
  @MethodSource("harderCrashingParts")
  void requestsAreKeptFromEnginesOnceFiveHaveEnded(Scenario scenario) {
    assertThat(runAll(scenario, CHOSEN, SEEDS))
        .allSatisfy(r -> assertThat(r.sentWhenKnown()).isLessThanOrEqualTo(MAX_SENT_WHEN_KNOWN));
  }

  @ParameterizedTest
  @MethodSource("longTroubles")
  void otherTroublesBlameNoSoundPartForLong(Scenario scenario) {
    List<Result> results = runAll(scenario, CHOSEN, LONG_SEEDS);
    int sound = results.stream().mapToInt(Result::sound).sum();
    assertThat(soundRefused(results)).isLessThan(sound / SOUND_PER_REFUSED);
    assertThat(results).allSatisfy(r -> assertThat(r.soundVerdictsLeft()).isZero());
  }
}
