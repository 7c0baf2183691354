package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.fleet.plan.CallerLimits;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.plan.RouteTable;
import org.waxwingcourse.fleet.plan.WeightedService;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;

/** Tests which requests are admitted, by route, key and age of the evidence. */
class AdmissionGateTest {
  private final ManualClock steady = ManualClock.at(Instant.ofEpochSecond(1));
  private final ManualClock wall = ManualClock.at(Instant.ofEpochSecond(1_000_000));
  private final Clocks clocks = new Clocks(steady, wall);
  private final StoreView storeView =
      StoreView.of(document -> Either.right(plan(document)), clocks);
  private Instant stopAt = Instant.MAX;
  private final AdmissionGate gate =
      new AdmissionGate(
          storeView, clocks, () -> Duration.ofMillis(4500), answerBy -> answerBy.isPast(stopAt));

  /**
   * Parses a test document, whose single byte is the plan version; the key is valid in version 1
   * only.
   */
  private static Plan plan(byte[] document) {
    Set<String> keys = document[0] == 1 ? Set.of("k") : Set.of();
    return new Plan(
        document[0],
        RouteTable.of(List.of(route("/a/", false), route("/open/", true))),
        Map.of(),
        CallerLimits.DEFAULT,
        OrganisationTable.of(
            List.of(new OrganisationPlan(OrganisationId.of("parish"), keys, 0, 0, Option.none()))));
  }

  private static Route route(String prefix, boolean keyless) {
    return new Route(
        prefix,
        "h",
        prefix,
        RequestKind.STREAM,
        Duration.ofSeconds(5),
        Duration.ofMillis(300),
        Duration.ZERO,
        0,
        List.of(new WeightedService(ServiceName.of("s"), 1)),
        1,
        keyless,
        false,
        Option.none(),
        HomeRegions.ANY);
  }

  private void applyPlan(int document) {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(Revision.of(document), new byte[] {(byte) document}));
    storeView.evidence().recordOwnRead(clocks.now());
  }

  private void advanceClocks(long millis) {
    steady.advance(Duration.ofMillis(millis));
    wall.advance(Duration.ofMillis(millis));
  }

  @Test
  void hostWithoutAConfigurationAnswersUnavailable() {
    assertThat(gate.admit("h", "/a/x", Option.none(), Option.none()).getLeft().code())
        .isEqualTo(RefusalCode.UNAVAILABLE);
  }

  @ParameterizedTest
  @CsvSource({
    "0, k, /a/x, ADMITTED",
    "4400, k, /a/x, ADMITTED",
    "4600, k, /a/x, UNAVAILABLE",
    "0, wrong, /a/x, INVALID_KEY",
    "1600, wrong, /a/x, UNAVAILABLE",
    "0, k, /none/x, NOT_FOUND",
    "1600, k, /none/x, UNAVAILABLE",
    "9000, wrong, /open/x, ADMITTED"
  })
  void admissionDependsOnTheAgeOfTheEvidence(long age, String key, String target, String expected) {
    applyPlan(1);
    advanceClocks(age);
    String answer =
        gate.admit("h", target, Option.some(key), Option.none())
            .fold(r -> r.code().name(), a -> "ADMITTED");
    assertThat(answer).isEqualTo(expected);
  }

  @Test
  void waitingRequestIsNotStartedAfterItsKeyIsRevoked() {
    applyPlan(1);
    AdmissionGate.Admitted admitted =
        gate.admit("h", "/a/x", Option.some("k"), Option.none()).get();
    assertThat(gate.isStillAdmitted(admitted, Option.some("k"))).isTrue();
    applyPlan(2);
    assertThat(gate.isStillAdmitted(admitted, Option.some("k"))).isFalse();
  }

  @Test
  void olderConfigurationIsNotApplied() {
    applyPlan(2);
    applyPlan(1);
    assertThat(storeView.plan().get().version()).isEqualTo(2);
  }

  /** The route allows 5 s. */
  @ParameterizedTest
  @CsvSource({
    "4900, , STOPPING",
    "5100, , ADMITTED",
    "1900, 2000, STOPPING",
    "2100, 2000, ADMITTED"
  })
  void stoppingHostAdmitsRequestsWhoseTimeLimitEndsBeforeIt(
      long millisLeft, Long callerLimit, String expected) {
    applyPlan(1);
    Instant now = steady.instant();
    stopAt = now.plusMillis(millisLeft);
    Option<Deadline> limit = Option.of(callerLimit).map(l -> Deadline.at(now.plusMillis(l)));
    String answer =
        gate.admit("h", "/a/x", Option.some("k"), limit)
            .fold(r -> r.code().name(), a -> "ADMITTED");
    assertThat(answer).isEqualTo(expected);
  }

  @Test
  void stoppingHostRefusesACallWithoutARouteThatIsAnsweredAfterItsEnd() {
    applyPlan(1);
    Instant now = steady.instant();
    stopAt = now.plusMillis(1000);
    assertThat(gate.identify(Option.some("k"), Deadline.at(now.plusMillis(900))).get())
        .isEqualTo(OrganisationId.of("parish"));
    assertThat(gate.identify(Option.some("k"), Deadline.at(now.plusMillis(1100))).getLeft().code())
        .isEqualTo(RefusalCode.STOPPING);
  }

  @Test
  void requestWaitsForTheFirstConfigurationOfAStartingHost() throws Exception {
    CompletableFuture<?> early =
        gate.admitOnceConfigured("h", "/open/x", Option.none(), Option.none());
    assertThat(early).isNotDone();
    storeView.applyIfNewer(new StoreView.ConfigurationDocument(Revision.of(1), new byte[] {1}));
    assertThat(early.get(1, TimeUnit.SECONDS)).isInstanceOf(Either.Right.class);
  }

  @Test
  void requestIsRefusedWhenNoConfigurationComes() throws Exception {
    assertThat(
            gate.admitOnceConfigured("h", "/open/x", Option.none(), Option.none())
                .get(1, TimeUnit.SECONDS)
                .getLeft()
                .code())
        .isEqualTo(RefusalCode.UNAVAILABLE);
  }
}
