package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobPage;
import org.waxwingcourse.wire.fleet.JobRead;
import org.waxwingcourse.wire.fleet.JobRecord;

/**
 * Counts the reads of the store for the results of a job whose runner has restarted. Callers ask
 * for results about once a second, each time on another host.
 */
class JobReadCostTest {
  private static final HostId SELF = HostId.of("self");
  private static final HostId RUNNER = HostId.of("runner");
  private static final JobId JOB = JobId.of("job-1");
  private static final OrganisationId PARISH = OrganisationId.of("parish");

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final StoreView storeView = StoreView.of(document -> Either.left("none"), clocks);
  private final MemoryStore store = MemoryStore.of(clock);
  private final JobService jobs = new JobService(SELF, 1, ports());
  private boolean runnerAnswers;

  @BeforeEach
  void storeJob() {
    JobRecord record =
        JobRecord.newBuilder()
            .setOrganisation(PARISH.value())
            .addItemTokens(10)
            .setRunner(RUNNER.value())
            .setRunnerBoot(1)
            .build();
    store.write(Transaction.builder().put(StoreKeys.jobKey(JOB), record.toByteArray()).build());
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private JobService.Ports ports() {
    PeerTransport peers = FleetFixtures.recordingPeers(this::answerAsRestartedRunner);
    return new JobService.Ports(
        store,
        new HostEntryRegistration(
            FleetFixtures.host(SELF, 1), store, storeView, clocks, timer, new SecureRandom()),
        peers,
        clock,
        clock,
        timer,
        new Random(1),
        storeView,
        new EngineDirectory(storeView.engineTable(), e -> Option.none()),
        (request, listener) -> () -> {},
        new SlotClient(FleetFixtures.droppingPeers(), clock, FleetFixtures.DATA_CENTRE, List::of),
        headers -> List.of(),
        headers -> RequestSize.UNKNOWN);
  }

  /** The restarted process does not run the job. */
  private void answerAsRestartedRunner(HostId to, FleetMessage message) {
    if (runnerAnswers && message.hasJobRead()) {
      JobRead question = message.getJobRead();
      JobPage page =
          JobPage.newBuilder()
              .setNumber(question.getNumber())
              .setBoot(question.getBoot())
              .setJob(question.getJob())
              .build();
      timer.execute(
          () -> jobs.onJobMessage(to, FleetMessage.newBuilder().setJobPage(page).build()));
    }
  }

  private void listRunner() {
    FleetHost restarted = FleetFixtures.host(RUNNER, 2);
    Revision created = Revision.of(1);
    storeView
        .hostTable()
        .replaceFromRead(
            new Snapshot(
                Revision.of(2),
                List.of(
                    new Entry(
                        StoreKeys.hostKey(RUNNER, 2),
                        restarted.encode(),
                        created,
                        created,
                        LeaseId.NONE))));
  }

  private long readsForOneAnswer() throws Exception {
    long before = store.counts().reads();
    JobAnswer answer = jobs.readResults(JOB, PARISH, 0, Duration.ZERO).get(5, TimeUnit.SECONDS);
    assertThat(answer).isInstanceOf(JobAnswer.Page.class);
    return store.counts().reads() - before;
  }

  @Test
  void recordIsReadOnceWhileTheRunnerIsGone() throws Exception {
    assertThat(readsForOneAnswer()).isEqualTo(1);
  }

  @Test
  void recordIsReadOnceIfTheRunnerNoLongerRunsTheJob() throws Exception {
    listRunner();
    runnerAnswers = true;
    assertThat(readsForOneAnswer()).isEqualTo(1);
  }

  @Test
  void recordIsReadAgainIfTheRunnerDoesNotAnswer() throws Exception {
    listRunner();
    assertThat(readsForOneAnswer()).isEqualTo(2);
  }
}
