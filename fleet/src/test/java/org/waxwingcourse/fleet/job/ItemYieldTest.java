package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.SlotYield;

/** Tests how an item reacts when its slot is preempted. */
class ItemYieldTest {
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 1);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final BlockingQueue<FleetMessage> sent = new LinkedBlockingQueue<>();
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers((to, message) -> sent.add(message)),
          clock,
          FleetFixtures.DATA_CENTRE,
          List::of);
  private final FleetMessageRouter channel =
      new FleetMessageRouter(null, null, slots, (from, m) -> {}, (from, m) -> {});

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private RunningJob job() {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    JobRecord record =
        JobRecord.newBuilder()
            .setRoute("jobs")
            .setOrganisation("parish")
            .setDueMillis(clock.instant().plusSeconds(18).toEpochMilli())
            .setGiveUpMillis(clock.instant().plusSeconds(60).toEpochMilli())
            .build();
    MemoryStore store = MemoryStore.of(clock);
    JobRunner.Ports ports =
        new JobRunner.Ports(
            SELF,
            new HostEntryRegistration(
                FleetFixtures.host(SELF.host(), SELF.boot()),
                store,
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
            slots,
            new BatchRunTimes(),
            started -> {},
            finished -> {},
            headers -> List.of(),
            h -> RequestSize.UNKNOWN);
    return new RunningJob(
        JobId.of("job-1"),
        new JobStore.StoredRecord(record, Revision.of(1)),
        List.of(JobItem.newBuilder().setId("item-1").build()),
        List.of(),
        new AskedAt(clock.instant(), 1),
        ports,
        () -> {});
  }

  private long lastAskNumber() {
    return sent.stream()
        .filter(FleetMessage::hasAsk)
        .mapToLong(m -> m.getAsk().getNumber())
        .max()
        .orElse(0);
  }

  @Test
  void itemRequestsAnotherSlotWhenAYieldArrivesBeforeItsGrant() {
    slots.attachTo(COORDINATOR);
    job().start();
    long first = lastAskNumber();
    FleetMessage yield =
        FleetMessage.newBuilder().setYield(SlotYield.newBuilder().setNumber(first)).build();
    channel.onMessage(COORDINATOR, yield.toByteArray());
    assertThat(lastAskNumber()).isGreaterThan(first);
  }
}
