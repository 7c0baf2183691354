package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
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
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.wire.fleet.JobItem;

/** Tests the retry delay that a caller is given when the store refused its job. */
class StoreRetryDelayTest {
  private static final HostId SELF = HostId.of("self");

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final StoreView storeView = StoreView.of(document -> Either.left("none"), clocks);
  private final MemoryStore store = MemoryStore.of(clock);
  private final JobService jobs = new JobService(SELF, 1, ports());

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private JobService.Ports ports() {
    return new JobService.Ports(
        store,
        new HostEntryRegistration(
            FleetFixtures.host(SELF, 1), store, storeView, clocks, timer, new SecureRandom()),
        FleetFixtures.droppingPeers(),
        clock,
        clock,
        timer,
        new Random(1),
        storeView,
        new EngineDirectory(storeView.engineTable(), e -> Option.none()),
        (request, listener) -> () -> {},
        new SlotClient(FleetFixtures.droppingPeers(), clock, FleetFixtures.DATA_CENTRE, List::of),
        headers -> List.of(),
        h -> RequestSize.UNKNOWN);
  }

  private static JobSubmission job(String id) {
    return new JobSubmission(
        JobId.of(id),
        OrganisationId.of("parish"),
        "h",
        FleetFixtures.jobRoute(),
        List.of(JobItem.newBuilder().setId("item-1").build()));
  }

  private JobAnswer answerWithin(Duration limit, CompletableFuture<JobAnswer> answer) {
    timer.advance(limit);
    assertThat(answer).isDone();
    return answer.join();
  }

  private Duration retryDelayAfterRefusal() {
    JobSubmission job = job("job-1");
    store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    return ((JobAnswer.Refused) jobs.submitJob(job).join()).retryAfter();
  }

  @Test
  void callerRetriesAtOnceWhenOtherHostsReachTheStore() {
    storeView.evidence().recordPeerProof(clocks.now());
    clock.advance(Duration.ofMillis(700));
    assertThat(retryDelayAfterRefusal()).isEqualTo(Duration.ofMillis(20));
  }

  @Test
  void callerWaitsWithoutEvidenceThatAnyHostReachesTheStore() {
    storeView.evidence().recordPeerProof(clocks.now());
    clock.advance(Duration.ofMillis(1600));
    assertThat(retryDelayAfterRefusal()).isEqualTo(Duration.ofMillis(500));
  }

  /** The objective is 400 ms; another host that reaches the store can then still accept the job. */
  @Test
  void callerIsSentElsewhereWithinItsObjectiveWhenTheStoreIsSilent() {
    store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
    assertThat(answerWithin(Duration.ofMillis(350), jobs.submitJob(job("job-1"))))
        .isInstanceOf(JobAnswer.Unknown.class);
    assertThat(jobs.submitJob(job("job-2")).getNow(null)).isInstanceOf(JobAnswer.Refused.class);
    clock.advance(Duration.ofMillis(1100));
    store.setFaults(StoreFaults.NONE);
    assertThat(jobs.submitJob(job("job-2")).join()).isInstanceOf(JobAnswer.Accepted.class);
  }

  /** A store that holds its answers, as one that is cut off from this host only. */
  @Test
  void acceptanceWithoutAnAnswerEndsWithinThePatience() {
    Store unanswering =
        (Store)
            Proxy.newProxyInstance(
                Store.class.getClassLoader(),
                new Class<?>[] {Store.class},
                (proxy, method, arguments) ->
                    method.isDefault()
                        ? InvocationHandler.invokeDefault(proxy, method, arguments)
                        : new CompletableFuture<>());
    HostEntryRegistration registration = ports().registration();
    JobIntake intake =
        new JobIntake(
            new JobStore(unanswering),
            new JobRunner(
                new JobRunner.Ports(
                    null,
                    registration,
                    null,
                    clock,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    h -> RequestSize.UNKNOWN)),
            new RunnerName(SELF, 1),
            clock,
            timer,
            () -> Duration.ofMillis(4),
            () -> Duration.ofMillis(20));
    CompletableFuture<JobAnswer> answer = intake.submit(job("job-1"), clock.instant());
    assertThat(answerWithin(Duration.ofMillis(350), answer)).isInstanceOf(JobAnswer.Unknown.class);
  }

  @Test
  void slowStoreIsGivenItsUsualTime() {
    AcceptancePatience patience = new AcceptancePatience();
    Duration objective = Duration.ofMillis(400);
    assertThat(patience.patience(objective, Duration.ofMillis(4)).toMillis()).isEqualTo(160);
    assertThat(patience.patience(objective, Duration.ofMillis(240)).toMillis()).isEqualTo(960);
  }
}
