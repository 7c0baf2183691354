package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.wire.fleet.JobItem;

/** A job that its caller ends at one host stops at the host that runs it. */
class ClosedJobTest {
  private static final HostId RUNNER = HostId.of("runner");
  private static final HostId CLOSER = HostId.of("closer");
  private static final JobId JOB = JobId.of("job-1");
  private static final OrganisationId PARISH = OrganisationId.of("parish");
  private static final Duration MESSAGE_TIME = Duration.ofMillis(100);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore memory = MemoryStore.of(clock);
  private final FaultyStore storeOfRunner = new FaultyStore(memory);
  private final FaultyStore storeOfCloser = new FaultyStore(memory);
  private final Map<HostId, JobService> hosts = new HashMap<>();

  @BeforeEach
  void runJob() {
    start(RUNNER, storeOfRunner);
    start(CLOSER, storeOfCloser);
    submit();
    assertThat(hosts.get(RUNNER).countRunning()).isOne();
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void start(HostId host, Store store) {
    StoreView view = StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
    view.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    JobService.Ports ports =
        new JobService.Ports(
            store,
            new HostEntryRegistration(
                FleetFixtures.host(host, 1), store, view, clocks, timer, new SecureRandom()),
            FleetFixtures.recordingPeers(
                (to, message) ->
                    timer.execute(
                        () ->
                            Option.of(hosts.get(to))
                                .forEach(other -> other.onJobMessage(host, message)))),
            clock,
            clock,
            timer,
            new Random(1),
            view,
            new EngineDirectory(view.engineTable(), e -> Option.none()),
            (request, listener) -> () -> {},
            new SlotClient(
                FleetFixtures.droppingPeers(), clock, FleetFixtures.DATA_CENTRE, List::of),
            headers -> List.of(),
            headers -> RequestSize.UNKNOWN);
    hosts.put(host, new JobService(host, 1, ports));
  }

  private void submit() {
    CompletableFuture<JobAnswer> answer =
        hosts
            .get(RUNNER)
            .submitJob(
                new JobSubmission(
                    JOB,
                    PARISH,
                    "h",
                    FleetFixtures.jobRoute(),
                    List.of(JobItem.newBuilder().setId("item-1").setTokens(10).build())));
    timer.advance(MESSAGE_TIME);
    assertThat(answer.join()).isInstanceOf(JobAnswer.Accepted.class);
  }

  private void close() {
    CompletableFuture<JobAnswer> answer = hosts.get(CLOSER).closeJob(JOB, PARISH);
    timer.advance(MESSAGE_TIME);
    assertThat(answer.join()).isInstanceOf(JobAnswer.Closed.class);
  }

  @Test
  void closedJobStopsAtItsRunner() {
    close();
    assertThat(hosts.get(RUNNER).countRunning()).isZero();
  }

  /** The record was found to be closed, and its runner was told nothing until it next committed. */
  @Test
  void closedJobStopsAtItsRunnerThoughTheAnswerToItsEndWasLost() {
    storeOfCloser.failWrites(FaultyStore.WriteFault.ANSWER_LOST);
    close();
    assertThat(hosts.get(RUNNER).countRunning()).isZero();
  }

  /** The runner had read the open record, and started the job after it was told of its end. */
  @Test
  void closedJobIsNotStartedByATakeOverInProgress() {
    hosts.get(RUNNER).stop();
    timer.advance(MESSAGE_TIME);
    start(RUNNER, storeOfRunner);
    storeOfRunner.afterRead(this::close);
    hosts.get(RUNNER).takeOver(JOB);
    timer.advance(MESSAGE_TIME);
    assertThat(hosts.get(RUNNER).countRunning()).isZero();
  }

  /** A caller who asked once, while the store was away, had its items run to their end. */
  @Test
  void endThatTheStoreRefusedIsCarriedOutWhenItAnswers() {
    storeOfCloser.failWrites(FaultyStore.WriteFault.REFUSED, FaultyStore.WriteFault.REFUSED);
    CompletableFuture<JobAnswer> answer = hosts.get(CLOSER).closeJob(JOB, PARISH);
    assertThat(answer.join()).isInstanceOf(JobAnswer.Refused.class);
    assertThat(hosts.get(RUNNER).countRunning()).isOne();
    timer.advance(Duration.ofSeconds(3));
    assertThat(hosts.get(RUNNER).countRunning()).isZero();
  }

  /** The job is another organisation's, which may not end it at any time. */
  @Test
  void endOfAnotherOrganisationIsNotTriedAgain() {
    CompletableFuture<JobAnswer> answer =
        hosts.get(CLOSER).closeJob(JOB, OrganisationId.of("other"));
    assertThat(answer.join()).isInstanceOf(JobAnswer.NotFound.class);
    timer.advance(Duration.ofSeconds(3));
    assertThat(hosts.get(RUNNER).countRunning()).isOne();
  }
}
