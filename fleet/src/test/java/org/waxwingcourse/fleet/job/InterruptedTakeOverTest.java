package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobItems;
import org.waxwingcourse.wire.fleet.JobRecord;

/**
 * A job that the store names as run by this host is run by it, whatever answers of the store were
 * lost or late. Nobody else takes it over for as long as the host is registered.
 */
class InterruptedTakeOverTest {
  private static final JobId JOB = JobId.of("job-1");
  private static final RunnerName GONE = new RunnerName(HostId.of("gone"), 1);
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 7);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore memory = MemoryStore.of(clock);
  private final FaultyStore store = new FaultyStore(memory);
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final JobRunner runner =
      new JobRunner(
          new JobRunner.Ports(
              SELF,
              new HostEntryRegistration(
                  FleetFixtures.host(SELF.host(), SELF.boot()),
                  memory,
                  storeView,
                  clocks,
                  timer,
                  new SecureRandom()),
              new JobStore(store),
              clock,
              clock,
              timer,
              new Random(1),
              storeView,
              new EngineDirectory(storeView.engineTable(), e -> Option.none()),
              (request, listener) -> () -> {},
              new SlotClient(
                  FleetFixtures.droppingPeers(), clock, FleetFixtures.DATA_CENTRE, List::of),
              new BatchRunTimes(),
              job -> {},
              job -> {},
              headers -> List.of(),
              headers -> RequestSize.UNKNOWN));

  /** Without its route in the configuration the item would fail at once and end the job. */
  @BeforeEach
  void applyPlan() {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    storeJobAcceptedBy(GONE);
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void storeJobAcceptedBy(RunnerName name) {
    JobRecord record =
        JobRecord.newBuilder()
            .setOrganisation("parish")
            .setRoute("jobs")
            .addItemTokens(10)
            .setItemParts(1)
            .setDueMillis(clock.instant().plusSeconds(18).toEpochMilli())
            .setGiveUpMillis(clock.instant().plusSeconds(60).toEpochMilli())
            .setRunner(name.host().value())
            .setRunnerBoot(name.boot())
            .build();
    JobItem item = JobItem.newBuilder().setId("item-1").setTokens(10).build();
    memory
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

  private void setOutage(StoreFaults.Outage outage) {
    memory.setFaults(StoreFaults.NONE.withOutage(outage));
  }

  private RunnerName storedRunner() throws Exception {
    JobRecord record =
        JobRecord.parseFrom(
            memory
                .readDirectly(KeyRange.ofKey(StoreKeys.jobKey(JOB)))
                .firstEntry()
                .orElseThrow()
                .value());
    return new RunnerName(HostId.of(record.getRunner()), record.getRunnerBoot());
  }

  /** The claim took effect, and the items could not be read; the job was dropped a second later. */
  @Test
  void jobIsRunThoughTheStoreGoesDownAfterItsClaim() throws Exception {
    store.afterWrite(() -> setOutage(StoreFaults.Outage.REFUSING));
    runner.takeOver(JOB);
    timer.advance(Duration.ofMillis(1800));
    assertThat(storedRunner()).isEqualTo(SELF);
    setOutage(StoreFaults.Outage.NONE);
    timer.advance(Duration.ofSeconds(2));
    assertThat(runner.countRunning()).isOne();
  }

  /** The host looked for its claim eight times, whether or not the store answered. */
  @Test
  void jobIsRunThoughTheStoreIsDownForLongAfterALostAnswer() throws Exception {
    store.failWrites(FaultyStore.WriteFault.ANSWER_LOST);
    store.afterWrite(() -> setOutage(StoreFaults.Outage.REFUSING));
    runner.takeOver(JOB);
    timer.advance(Duration.ofSeconds(20));
    assertThat(storedRunner()).isEqualTo(SELF);
    setOutage(StoreFaults.Outage.NONE);
    timer.advance(Duration.ofSeconds(2));
    assertThat(runner.countRunning()).isOne();
  }

  /**
   * The claim was executed as its second attempt was under way, which then met a changed record.
   */
  @Test
  void jobIsRunThoughTheClaimIsExecutedLate() {
    store.failWrites(FaultyStore.WriteFault.LATE);
    runner.takeOver(JOB);
    timer.advance(Duration.ofMillis(500));
    store.failWrites(FaultyStore.WriteFault.LATE);
    runner.takeOver(JOB);
    timer.advance(Duration.ofMillis(5500));
    store.executeLateWrites();
    timer.advance(Duration.ofSeconds(3));
    assertThat(runner.countRunning()).isOne();
  }

  @Test
  void jobThatAnotherHostHasClaimedIsLeftToIt() throws Exception {
    RunnerName other = new RunnerName(HostId.of("other"), 2);
    store.failWrites(FaultyStore.WriteFault.LATE);
    runner.takeOver(JOB);
    storeJobAcceptedBy(other);
    String entry = StoreKeys.hostKey(other.host(), other.boot());
    memory
        .write(
            Transaction.builder()
                .put(entry, FleetFixtures.host(other.host(), other.boot()).encode())
                .build())
        .join();
    store.executeLateWrites();
    timer.advance(Duration.ofSeconds(20));
    assertThat(storedRunner()).isEqualTo(other);
    assertThat(runner.countRunning()).isZero();
    long reads = memory.counts().reads();
    timer.advance(Duration.ofSeconds(20));
    assertThat(memory.counts().reads()).as("reads after the take-over has ended").isEqualTo(reads);
  }
}
