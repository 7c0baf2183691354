package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;

/** An item without a run for long could be at an engine, in a queue or forgotten: no line told. */
class WaitingItemTest {
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(1500);
  private static final Duration BELOW_LIMIT = Duration.ofMillis(4500);
  private static final Duration ABOVE_LIMIT = Duration.ofSeconds(9);
  private static final Duration ABOVE_SLOT_LIMIT = Duration.ofSeconds(18);
  private static final Duration MINUTE = Duration.ofSeconds(60);
  private static final String REFUSAL = "engines crash on its prompt";

  private RunnerFixture fixture = new RunnerFixture();

  @AfterEach
  void stop() {
    fixture.stop();
  }

  /** Returns the items that are reported while time passes. */
  private List<ItemWaits.DueItem> reportedIn(Duration time) {
    List<ItemWaits.DueItem> reported = new ArrayList<>();
    for (long n = time.dividedBy(CHECK_INTERVAL); n > 0; n--) {
      fixture.timer.advance(CHECK_INTERVAL);
      reported.addAll(fixture.runner.checkWaits());
    }
    return reported;
  }

  private void assertReportedOnce(WaitReason reason) {
    assertThat(reportedIn(BELOW_LIMIT)).isEmpty();
    assertThat(reportedIn(ABOVE_LIMIT)).extracting(ItemWaits.DueItem::reason).containsOnly(reason);
    assertThat(fixture.runner.waits().count(reason)).isOne();
  }

  /** Decides on each request for a slot as soon as it is asked for. */
  private void decide(Consumer<FleetMessage> decision) {
    fixture.onSent =
        message -> {
          if (message.hasAsk()) {
            fixture.timer.execute(() -> decision.accept(message));
          }
        };
  }

  private void refuse(FleetMessage ask, boolean quarantined) {
    SlotRefusal.Builder refusal =
        SlotRefusal.newBuilder()
            .setNumber(ask.getAsk().getNumber())
            .setQuarantined(quarantined)
            .setRetryAfterNanos(MINUTE.toNanos())
            .setReason(REFUSAL);
    fixture.receive(COORDINATOR, FleetMessage.newBuilder().setRefusal(refusal).build());
  }

  private void grant(FleetMessage ask, String engine) {
    SlotGrant.Builder grant =
        SlotGrant.newBuilder().setNumber(ask.getAsk().getNumber()).setEngine(engine);
    fixture.receive(COORDINATOR, FleetMessage.newBuilder().setGrant(grant).build());
  }

  @Test
  void itemInTheQuarantineIsReportedWithWhoRefusedItAndUntilWhen() {
    decide(ask -> refuse(ask, true));
    fixture.runJob(1);
    ItemWaits.DueItem due = reportedIn(ABOVE_LIMIT).get(0);
    assertThat(due.reason()).isEqualTo(WaitReason.QUARANTINED);
    ItemWait.LastRefusal refusal = due.state().lastRefusal().get();
    assertThat(refusal.code()).isEqualTo(RefusalCode.QUARANTINED);
    assertThat(refusal.text()).isEqualTo(REFUSAL);
    assertThat(refusal.by()).isEqualTo(Option.some(COORDINATOR));
    assertThat(refusal.retryAt().remaining(fixture.clock.instant())).isGreaterThan(ABOVE_LIMIT);
  }

  @Test
  void itemThatIsRefusedAgainAndAgainIsReported() {
    decide(ask -> refuse(ask, false));
    fixture.runJob(1);
    assertReportedOnce(WaitReason.SLOT_REFUSED);
  }

  @Test
  void itemThatNobodyDecidesOnIsReportedAsWaitingForASlot() {
    fixture.runJob(1);
    assertThat(reportedIn(BELOW_LIMIT.plus(ABOVE_LIMIT))).isEmpty();
    assertThat(reportedIn(ABOVE_SLOT_LIMIT))
        .extracting(ItemWaits.DueItem::reason)
        .containsOnly(WaitReason.SLOT_REQUESTED);
  }

  @Test
  void itemWithoutAConfigurationIsReported() {
    fixture.stop();
    fixture = new RunnerFixture(Option.none());
    fixture.runJob(1);
    assertReportedOnce(WaitReason.NO_CONFIGURATION);
  }

  @Test
  void itemWithoutAnEngineInItsHomeRegionsIsReported() {
    fixture.applyPlan(
        FleetFixtures.planOf(FleetFixtures.jobRoute(HomeRegions.of(List.of("elsewhere")))), 2);
    fixture.runJob(1);
    assertReportedOnce(WaitReason.NO_ENGINE);
  }

  @Test
  void itemWhoseGrantedEnginesCannotBeUsedIsReported() {
    decide(ask -> grant(ask, "unknown"));
    fixture.runJob(1);
    assertReportedOnce(WaitReason.ENGINE_UNUSABLE);
  }

  @Test
  void itemThatEachEngineTurnsAwayIsReported() {
    EngineAnswer full = new EngineAnswer(503, List.of(), EngineAnswer.Verdict.FULL, false, false);
    fixture.onRequest =
        (request, listener) -> {
          fixture.timer.execute(() -> listener.onHead(full));
          return () -> {};
        };
    decide(ask -> grant(ask, "e1"));
    fixture.runJob(1);
    assertReportedOnce(WaitReason.ENGINE_REFUSED);
  }

  @Test
  void itemUnderWhichEnginesCrashIsReported() {
    CallFailure crash = new CallFailure(CallFailure.Kind.LOST, "closed");
    fixture.onRequest =
        (request, listener) -> {
          fixture.timer.execute(() -> listener.onEnd(Option.some(crash)));
          return () -> {};
        };
    decide(ask -> grant(ask, "e1"));
    fixture.runJob(1);
    assertThat(reportedIn(MINUTE))
        .isNotEmpty()
        .extracting(ItemWaits.DueItem::reason)
        .containsOnly(WaitReason.RUNS_BROKEN_OFF);
  }

  @Test
  void itemThatFailedAtAnEngineIsCountedUntilItsNextRun() {
    EngineAnswer failed = new EngineAnswer(500, List.of(), EngineAnswer.Verdict.RUN, false, false);
    fixture.maxAttempts = 2;
    fixture.runJob(1);
    fixture.grantAll();
    fixture.answers.get(0).onHead(failed);
    fixture.answers.get(0).onEnd(Option.none());
    fixture.runner.checkWaits();
    assertThat(fixture.runner.waits().count(WaitReason.RUN_FAILED)).isOne();
    fixture.timer.advance(CHECK_INTERVAL);
    fixture.grantAll();
    fixture.runner.checkWaits();
    assertThat(fixture.runner.waits().count(WaitReason.RUN_FAILED)).isZero();
  }

  @Test
  void itemWhoseRequestsForASlotFailIsReported() {
    fixture.promptParts =
        headers -> {
          throw new IllegalStateException("parts");
        };
    fixture.runJob(1);
    assertReportedOnce(WaitReason.REQUEST_FAILED);
  }

  @Test
  void itemWithASlotWhoseJobCannotBeReadIsReported() {
    fixture.runJob(1);
    fixture.timer.advance(Duration.ofSeconds(3));
    fixture.store.holdReads();
    fixture.grantAll();
    assertReportedOnce(WaitReason.RECORD_READ);
  }

  @Test
  void itemWhoseResultIsNotStoredIsReportedUntilItIs() {
    fixture.store.rejectWrites(t -> true);
    fixture.runJob(2);
    fixture.finish(0, "text");
    assertReportedOnce(WaitReason.RESULT_NOT_STORED);
    fixture.store.rejectWrites(t -> false);
    reportedIn(ABOVE_LIMIT);
    assertThat(fixture.runner.waits().count(WaitReason.RESULT_NOT_STORED)).isZero();
  }

  @Test
  void itemAtAnEngineDoesNotWait() {
    fixture.runJob(1);
    fixture.grantAll();
    fixture.runner.checkWaits();
    for (WaitReason reason : WaitReason.values()) {
      assertThat(fixture.runner.waits().count(reason)).as("%s", reason).isZero();
    }
  }

  @Test
  void gaugesCountWaitingItemsByReason() {
    MetricRegistry metrics = new MetricRegistry();
    fixture.runner.waits().registerMetrics(metrics);
    decide(ask -> refuse(ask, true));
    fixture.runJob(3);
    reportedIn(CHECK_INTERVAL);
    assertThat(metrics.gauge("jobs.items_waiting.quarantined").getValue()).isEqualTo(3);
    assertThat(metrics.getGauges()).hasSameSizeAs(WaitReason.values());
  }

  @Test
  void linesAreBoundedHoweverManyItemsWaitAndEachItemHasItsTurn() {
    int items = 40;
    decide(ask -> refuse(ask, true));
    fixture.runJob(items);
    reportedIn(BELOW_LIMIT);
    List<ItemWaits.DueItem> reported = new ArrayList<>();
    for (int check = 0; check < items / ItemWaits.MAX_LINES_PER_JOB; check++) {
      List<ItemWaits.DueItem> lines = reportedIn(CHECK_INTERVAL);
      assertThat(lines).hasSizeLessThanOrEqualTo(ItemWaits.MAX_LINES_PER_JOB);
      reported.addAll(lines);
    }
    assertThat(reported).extracting(ItemWaits.DueItem::item).doesNotHaveDuplicates();
    assertThat(reported).hasSizeGreaterThanOrEqualTo(items - 2 * ItemWaits.MAX_LINES_PER_JOB);
  }

  @Test
  void linesOfAHostAreBoundedHoweverManyJobsItRuns() {
    decide(ask -> refuse(ask, true));
    fixture.runJob(2 * ItemWaits.MAX_LINES);
    fixture.timer.advance(ABOVE_LIMIT);
    RunningJob job = fixture.runner.findJob(RunnerFixture.JOB).get();
    assertThat(fixture.runner.waits().check(Collections.nCopies(5, job)))
        .hasSize(ItemWaits.MAX_LINES);
  }

  @Test
  void itemsThatWaitForASlotHaveFewLines() {
    fixture.runJob(10);
    fixture.timer.advance(ABOVE_SLOT_LIMIT);
    assertThat(fixture.runner.checkWaits()).hasSize(ItemWaits.MAX_SLOT_LINES);
    assertThat(fixture.runner.waits().count(WaitReason.SLOT_REQUESTED)).isEqualTo(10);
  }
}
