package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobItems;
import org.waxwingcourse.wire.fleet.JobRecord;

/** Tests which host may run a job whose runner seems to be gone. */
class JobTakeOverTest {
  private static final JobId JOB = JobId.of("job-1");
  private static final RunnerName OLD = new RunnerName(HostId.of("old"), 1);
  private static final RunnerName NEW = new RunnerName(HostId.of("new"), 7);
  private static final Duration PATIENCE = Duration.ofSeconds(10);

  private final MemoryStore store = MemoryStore.of(InstantSource.system());
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final Clocks clocks = new Clocks(InstantSource.system(), InstantSource.system());
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final HostEntryRegistration registration =
      new HostEntryRegistration(host(NEW), store, storeView, clocks, timer, new SecureRandom());
  private final JobRunner runner = new JobRunner(ports());

  /** Without its route in the configuration the item would fail at once and end the job. */
  @BeforeEach
  void applyPlan() {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private static FleetHost host(RunnerName name) {
    return FleetFixtures.host(name.host(), name.boot());
  }

  private JobRunner.Ports ports() {
    return new JobRunner.Ports(
        NEW,
        registration,
        new JobStore(store),
        clocks.steady(),
        clocks.wall(),
        timer,
        new Random(1),
        storeView,
        new EngineDirectory(storeView.engineTable(), e -> Option.none()),
        (request, listener) -> () -> {},
        new SlotClient(
            FleetFixtures.droppingPeers(), clocks.steady(), FleetFixtures.DATA_CENTRE, List::of),
        new BatchRunTimes(),
        job -> {},
        job -> {},
        headers -> List.of(),
        headers -> RequestSize.UNKNOWN);
  }

  private void storeJobAcceptedBy(RunnerName name) {
    JobRecord record =
        JobRecord.newBuilder()
            .setOrganisation("parish")
            .setRoute("jobs")
            .addItemTokens(10)
            .setItemParts(1)
            .setDueMillis(Instant.now().plusSeconds(18).toEpochMilli())
            .setGiveUpMillis(Instant.now().plusSeconds(60).toEpochMilli())
            .setRunner(name.host().value())
            .setRunnerBoot(name.boot())
            .build();
    JobItem item = JobItem.newBuilder().setId("item-1").setTokens(10).build();
    store
        .write(
            Transaction.builder()
                .put(StoreKeys.jobKey(JOB), record.toByteArray())
                .put(StoreKeys.runnerKey(JOB), name.encode())
                .put(
                    StoreKeys.itemsKey(JOB, 0),
                    JobItems.newBuilder().addItems(item).build().toByteArray())
                .build())
        .join();
  }

  private JobRecord record() throws Exception {
    return JobRecord.parseFrom(
        store
            .readDirectly(KeyRange.ofKey(StoreKeys.jobKey(JOB)))
            .firstEntry()
            .orElseThrow()
            .value());
  }

  private static void awaitUntil(java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    Instant end = Instant.now().plus(PATIENCE);
    while (!condition.getAsBoolean()) {
      assertThat(Instant.now()).as("condition not met within " + PATIENCE).isBefore(end);
      Thread.sleep(5);
    }
  }

  @Test
  void runnerWithAnEntryKeepsItsJob() throws Exception {
    storeJobAcceptedBy(OLD);
    String entry = StoreKeys.hostKey(OLD.host(), OLD.boot());
    store.write(Transaction.builder().put(entry, host(OLD).encode()).build()).join();
    runner.takeOver(JOB);
    assertThat(record().getRunner()).isEqualTo("old");
    assertThat(runner.countRunning()).isZero();
  }

  @Test
  void jobWhoseRunnerIsGoneIsTakenOver() throws Exception {
    storeJobAcceptedBy(OLD);
    runner.takeOver(JOB);
    awaitUntil(() -> runner.countRunning() == 1);
    assertThat(record().getRunner()).isEqualTo("new");
    assertThat(record().getRunnerBoot()).isEqualTo(7);
  }

  @Test
  void entryOfAnEarlierProcessIsRemovedWhenItsHostRegisters() throws Exception {
    RunnerName earlier = new RunnerName(NEW.host(), 3);
    String entry = StoreKeys.hostKey(earlier.host(), earlier.boot());
    store.write(Transaction.builder().put(entry, host(earlier).encode()).build()).join();
    registration.start();
    awaitUntil(registration::isLeaseValid);
    assertThat(store.readDirectly(KeyRange.ofKey(entry)).firstEntry()).isEmpty();
  }

  @Test
  void hostWithAnExpiredEntryStopsAJobThatWasTakenOver() throws Exception {
    registration.start();
    awaitUntil(registration::isLeaseValid);
    storeJobAcceptedBy(OLD);
    runner.takeOver(JOB);
    awaitUntil(() -> runner.countRunning() == 1);
    RunningJob job = runner.findJob(JOB).get();
    assertThat(job.isHeld()).isTrue();
    JobRecord taken = record().toBuilder().setRunner("third").setRunnerBoot(1).build();
    store
        .write(Transaction.builder().put(StoreKeys.jobKey(JOB), taken.toByteArray()).build())
        .join();
    runner.confirmAll();
    awaitUntil(() -> runner.countRunning() == 0);
    assertThat(record()).isEqualTo(taken);
  }

  /** Without a check the record would name this host as runner while no host runs the job. */
  @Test
  void jobIsRunThoughTheAnswerToItsClaimWasLost() throws Exception {
    storeJobAcceptedBy(OLD);
    store.dropResponses(1);
    runner.takeOver(JOB);
    awaitUntil(() -> runner.countRunning() == 1);
    assertThat(record().getRunner()).isEqualTo("new");
  }

  @Test
  void closedJobIsNotTakenOver() throws Exception {
    storeJobAcceptedBy(OLD);
    JobRecord closed = record().toBuilder().setClosed(true).build();
    store
        .write(Transaction.builder().put(StoreKeys.jobKey(JOB), closed.toByteArray()).build())
        .join();
    runner.takeOver(JOB);
    assertThat(runner.countRunning()).isZero();
    assertThat(store.readDirectly(KeyRange.ofKey(StoreKeys.runnerKey(JOB))).firstEntry()).isEmpty();
  }
}
