package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
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
import java.util.stream.IntStream;
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
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;

/**
 * Load pattern: the store is silent to a host, or refuses it, while it serves the coordinator. The
 * objective for an acceptance is 400 ms.
 */
class JobForwardingTest {
  private static final HostId CUT_OFF = HostId.of("cut-off");
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final JobId JOB = JobId.of("job-1");
  private static final Duration OBJECTIVE = Duration.ofMillis(400);
  private static final OrganisationId PARISH = OrganisationId.of("parish");

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore store = MemoryStore.of(clock);
  private final MemoryStore storeOfCutOff = MemoryStore.of(clock);
  private final Map<HostId, JobService> hosts = new HashMap<>();
  private final Map<HostId, StoreView> views = new HashMap<>();
  private boolean networkIsCut;

  @BeforeEach
  void startHosts() {
    start(COORDINATOR, store);
    start(CUT_OFF, storeOfCutOff);
    views.get(CUT_OFF).evidence().recordPeerProof(clocks.now());
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void start(HostId host, MemoryStore hostStore) {
    StoreView view = StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
    view.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    views.put(host, view);
    SlotClient slots =
        new SlotClient(FleetFixtures.droppingPeers(), clock, FleetFixtures.DATA_CENTRE, List::of);
    slots.attachTo(COORDINATOR);
    JobService.Ports ports =
        new JobService.Ports(
            hostStore,
            new HostEntryRegistration(
                FleetFixtures.host(host, 1), hostStore, view, clocks, timer, new SecureRandom()),
            FleetFixtures.recordingPeers(
                (to, message) -> {
                  if (!networkIsCut) {
                    timer.execute(() -> hosts.get(to).onJobMessage(host, message));
                  }
                }),
            clock,
            clock,
            timer,
            new Random(1),
            view,
            new EngineDirectory(view.engineTable(), e -> Option.none()),
            (request, listener) -> () -> {},
            slots,
            headers -> List.of(),
            h -> RequestSize.UNKNOWN);
    hosts.put(host, new JobService(host, 1, ports));
  }

  private static JobSubmission job(int items, int bodyBytes) {
    ByteString body = ByteString.copyFrom(new byte[bodyBytes]);
    return new JobSubmission(
        JOB,
        PARISH,
        "h",
        FleetFixtures.jobRoute(),
        IntStream.range(0, items)
            .mapToObj(i -> JobItem.newBuilder().setId("item-" + i).setTokens(10).setBody(body))
            .map(JobItem.Builder::build)
            .toList());
  }

  private CompletableFuture<JobAnswer> submit() {
    return submit(job(1, 10));
  }

  private CompletableFuture<JobAnswer> submit(JobSubmission job) {
    CompletableFuture<JobAnswer> answer = hosts.get(CUT_OFF).submitJob(job);
    timer.advance(OBJECTIVE.minusMillis(10));
    assertThat(answer).isDone();
    return answer;
  }

  private boolean isStored() {
    return store.readDirectly(KeyRange.ofKey(StoreKeys.jobKey(JOB))).firstEntry().isPresent();
  }

  @Test
  void jobIsAcceptedByTheCoordinatorWhenTheStoreRefusesThisHost() {
    storeOfCutOff.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    assertThat(submit().join()).isInstanceOf(JobAnswer.Accepted.class);
    assertThat(isStored()).isTrue();
  }

  @Test
  void jobIsAcceptedByTheCoordinatorWithinTheObjectiveWhenTheStoreIsSilent() {
    storeOfCutOff.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
    assertThat(submit().join()).isInstanceOf(JobAnswer.Accepted.class);
    assertThat(isStored()).isTrue();
  }

  /** It may have been stored there, so "refused" would not be true. */
  @Test
  void forwardedJobWithoutAnAnswerIsUnknown() {
    storeOfCutOff.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    networkIsCut = true;
    assertThat(submit().join()).isInstanceOf(JobAnswer.Unknown.class);
  }

  @Test
  void jobIsRefusedAtOnceWhenNoHostReachesTheStore() {
    storeOfCutOff.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    clock.advance(Duration.ofSeconds(3));
    assertThat(submit().getNow(null)).isInstanceOf(JobAnswer.Refused.class);
  }

  @Test
  void largeJobIsNotForwarded() {
    storeOfCutOff.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    assertThat(submit(job(4, 600_000)).join()).isInstanceOf(JobAnswer.Refused.class);
    assertThat(isStored()).isFalse();
  }

  /** Guards against a caller that is told to come back with a job that the store never takes. */
  @Test
  void jobThatTheStoreCanNeverTakeIsRefusedForGood() {
    for (JobSubmission job : List.of(job(1, 1 << 20), job(27, 700_000))) {
      assertThat(hosts.get(CUT_OFF).submitJob(job).getNow(null))
          .isInstanceOf(JobAnswer.TooLarge.class);
      assertThat(isStored()).isFalse();
    }
    assertThat(submit(job(26, 690_000)).join()).isInstanceOf(JobAnswer.Accepted.class);
  }

  @Test
  void jobOfAnotherOrganisationIsNotFound() {
    JobRecord other = JobRecord.newBuilder().setOrganisation("other").build();
    store.write(Transaction.builder().put(StoreKeys.jobKey(JOB), other.toByteArray()).build());
    storeOfCutOff.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    assertThat(submit().join()).isInstanceOf(JobAnswer.NotFound.class);
  }
}
