package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** Tests what an item does when the states by which it is decided differ. */
class ItemDecisionTest {
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
  private final EngineDirectory engines =
      new EngineDirectory(storeView.engineTable(), e -> Option.none());
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private final List<Boolean> results = new CopyOnWriteArrayList<>();
  private final FleetMessageRouter channel =
      new FleetMessageRouter(null, null, slots, (from, m) -> {}, (from, m) -> {});

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void applyPlan() {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
  }

  private ItemRun item() {
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
            engines,
            (request, listener) -> {
              runs.add(request.engine().id().value());
              return () -> {};
            },
            slots,
            new BatchRunTimes(),
            started -> {},
            finished -> {},
            headers -> List.of(),
            h -> RequestSize.UNKNOWN);
    JobItem item = JobItem.newBuilder().setId("item-1").build();
    RunningJob job =
        new RunningJob(
            JobId.of("job-1"),
            new JobStore.StoredRecord(record, Revision.of(1)),
            List.of(item),
            List.of(),
            new AskedAt(clock.instant(), 1),
            ports,
            () -> {});
    return new ItemRun(0, item, job, ports, (run, completed, text) -> results.add(completed));
  }

  private long lastAskNumber() {
    return sent.stream()
        .filter(FleetMessage::hasAsk)
        .mapToLong(m -> m.getAsk().getNumber())
        .max()
        .orElse(0);
  }

  private void grant(long number, String engine) {
    SlotGrant.Builder grant = SlotGrant.newBuilder().setNumber(number).setEngine(engine);
    channel.onMessage(COORDINATOR, FleetMessage.newBuilder().setGrant(grant).build().toByteArray());
  }

  private void learnEngine(String id, String service) {
    engines.learn(
        new EngineEntry(
            UpstreamId.of(id),
            ServiceName.of(service),
            new InetSocketAddress("127.0.0.1", 1),
            FleetFixtures.DATA_CENTRE,
            8,
            false,
            1));
  }

  /** A host that has just started and takes a job over may not have its configuration yet. */
  @Test
  void itemIsNotGivenUpForWantOfAConfiguration() throws Exception {
    slots.attachTo(COORDINATOR);
    item().requestSlot();
    timer.submit(() -> {}).get();
    assertThat(results).isEmpty();
    applyPlan();
    FleetMessage ask = sent.poll(10, TimeUnit.SECONDS);
    while (ask != null && !ask.hasAsk()) {
      ask = sent.poll(10, TimeUnit.SECONDS);
    }
    assertThat(ask).isNotNull();
    assertThat(results).isEmpty();
  }

  /** The numbers of a process that was killed start anew in the next one on its host. */
  @Test
  void grantOfAnEngineOfAnotherServiceIsNotUsed() {
    applyPlan();
    slots.attachTo(COORDINATOR);
    learnEngine("other-1", "other");
    item().requestSlot();
    grant(lastAskNumber(), "other-1");
    assertThat(runs).isEmpty();
  }

  @Test
  void grantOfAnEngineOfItsServiceIsUsed() {
    applyPlan();
    slots.attachTo(COORDINATOR);
    learnEngine("engine-1", "s");
    item().requestSlot();
    grant(lastAskNumber(), "engine-1");
    assertThat(runs).containsExactly("engine-1");
  }
}
