package org.waxwingcourse.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.config.toml.Reference;
import org.waxwingcourse.load.plan.Arrival;
import org.waxwingcourse.load.plan.ArrivalProcess;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.plan.LoadPlanReader;
import org.waxwingcourse.load.plan.LoadPlanSchema;
import org.waxwingcourse.load.report.RateLimitChecker;

class LoadPlanTest {
  private static final String PLAN =
      """
      [load]
      duration_seconds = 100
      hosts = ["http://127.0.0.1:1"]
      model = "m"
      [[organisation]]
      name = "a"
      key = "k"
      offered_per_second = 20.0
      rate_per_second = 5
      burst = 3
      [[organisation]]
      name = "b"
      key = "k2"
      offered_per_second = 20
      rate_per_second = 5
      burst = 3
      [[surge]]
      organisation = "b"
      at_ms = 50000
      length_ms = 50000
      factor = 4.0
      """;

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "burst = 3 | burst = 0 | plan.toml:10:1: \"burst\" must be whole number from 1",
        "key = \"k\" | kay = \"k\" | plan.toml:7:1: unknown name \"kay\"",
        "organisation = \"b\" | organisation = \"c\" | plan.toml:18:1: there is no",
        "name = \"a\" | name = \"a\"~shared_tokens = 300 | plan.toml:7:1: \"shared_tokens\"",
      })
  void reportsTheLineOfEachProblemInAnInvalidPlan(String valid, String invalid, String message) {
    String text = PLAN.replaceFirst(valid, invalid.replace("~", "\n"));
    assertThat(LoadPlanReader.parse("plan.toml", text).getLeft())
        .anySatisfy(problem -> assertThat(problem.toString()).startsWith(message));
  }

  @ParameterizedTest
  @ValueSource(strings = {"questions", "notes"})
  void examplePlansAreValid(String name) {
    LoadPlan plan = LoadPlanReader.read(Path.of("examples", name + ".toml")).get();
    assertThat(plan.organisations()).hasSize(8);
    assertThat(plan.batches()).isNotEmpty();
  }

  @Test
  void documentationPageListsExactlyTheSchema() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "operate", "load.md"));
    assertThat(page).endsWith(Reference.markdown(LoadPlanSchema.sections()));
  }

  @Test
  void arrivalsFollowRateAndSurgeAndDependOnlyOnTheSeed() {
    LoadPlan plan = LoadPlanReader.parse("plan.toml", PLAN).get();
    List<Arrival> arrivals = ArrivalProcess.arrivalsOf(plan);
    assertThat(arrivals).isEqualTo(ArrivalProcess.arrivalsOf(plan));
    assertThat(arrivals).isNotEqualTo(ArrivalProcess.arrivalsOf(plan.with(plan.duration(), 2)));
    assertThat((double) count(arrivals, "a", 0, 50) / count(arrivals, "a", 50, 100))
        .isBetween(0.8, 1.25);
    assertThat((double) count(arrivals, "b", 50, 100) / count(arrivals, "b", 0, 50))
        .isBetween(3.2, 5.0);
  }

  @Test
  void rateLimitCheckerReportsWrongfulRefusalsAndTheLargestOverrun() {
    RateLimitChecker checker = new RateLimitChecker(1, 2);
    checker.addAttempt(Duration.ZERO, false);
    checker.addAttempt(Duration.ZERO, true);
    assertThat(checker.wrongfulRefusals()).isEqualTo(1);
    checker.addAttempt(Duration.ZERO, false);
    checker.addAttempt(Duration.ofMillis(900), true);
    assertThat(checker.wrongfulRefusals()).isEqualTo(1);
    assertThat(checker.maxOverrun()).isZero();
    checker.addAttempt(Duration.ofMillis(900), false);
    assertThat(checker.maxOverrun()).isBetween(0.09, 0.11);
  }

  private static long count(List<Arrival> arrivals, String name, int from, int to) {
    return arrivals.stream()
        .filter(a -> a.organisation().name().equals(name))
        .filter(a -> a.scheduledAt().toSeconds() >= from && a.scheduledAt().toSeconds() < to)
        .count();
  }
}
