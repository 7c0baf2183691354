package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineAnswerWatch;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotGrant;

/**
 * Items were sent to an engine that had said in the answer to another item that it was leaving. The
 * test takes the coordinator's part.
 */
class LeavingEngineItemTest {
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final UpstreamId LEAVING = UpstreamId.of("engine-1");
  private static final UpstreamId STAYING = UpstreamId.of("engine-2");
  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 1);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final BlockingQueue<FleetMessage> sent = new LinkedBlockingQueue<>();
  private final StoreView storeView =
      StoreView.of(
          document -> Either.right(FleetFixtures.jobPlan()), clocks, FleetFixtures::readEngine);
  private final EngineDirectory engines =
      new EngineDirectory(storeView.engineTable(), FleetFixtures::readEngine);
  private final BlockingQueue<SlotAsk> asks = new LinkedBlockingQueue<>();
  private final List<EngineRequest> received = new ArrayList<>();
  private final List<EngineListener> answers = new ArrayList<>();
  private final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers(
              (to, message) -> {
                sent.add(message);
                if (message.hasAsk()) {
                  asks.add(message.getAsk());
                }
              }),
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
    storeView
        .engineTable()
        .replaceFromRead(
            new Snapshot(
                Revision.of(1),
                List.of(
                    FleetFixtures.engineEntry(LEAVING.value(), 1, 8, false, 1, 1),
                    FleetFixtures.engineEntry(STAYING.value(), 2, 8, false, 1, 1))));
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
            new EngineAnswerWatch(this::receive, engines, clock),
            slots,
            new BatchRunTimes(),
            started -> {},
            finished -> {},
            headers -> List.of(),
            h -> RequestSize.UNKNOWN);
    return new RunningJob(
        JobId.of("job-1"),
        new JobStore.StoredRecord(record, Revision.of(1)),
        List.of(
            JobItem.newBuilder().setId("item-1").build(),
            JobItem.newBuilder().setId("item-2").build()),
        List.of(),
        new AskedAt(clock.instant(), 1),
        ports,
        () -> {});
  }

  private StreamCall receive(EngineRequest request, EngineListener listener) {
    received.add(request);
    answers.add(listener);
    return () -> {};
  }

  private SlotAsk nextAsk() throws InterruptedException {
    SlotAsk ask = asks.poll(PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    assertThat(ask).as("request for a slot").isNotNull();
    return ask;
  }

  private void grant(SlotAsk ask, UpstreamId engine) {
    SlotGrant.Builder grant =
        SlotGrant.newBuilder().setNumber(ask.getNumber()).setEngine(engine.value());
    channel.onMessage(COORDINATOR, FleetMessage.newBuilder().setGrant(grant).build().toByteArray());
  }

  private List<UpstreamId> receivers() {
    return received.stream().map(r -> r.engine().id()).toList();
  }

  @ParameterizedTest
  @CsvSource({"RUN, 200", "FULL, 503", "OTHER_ENGINE, 421"})
  void itemsAreNotSentAfterAnAnswerThatSaysSo(EngineAnswer.Verdict verdict, int status)
      throws InterruptedException {
    slots.attachTo(COORDINATOR);
    job().start();
    grant(nextAsk(), LEAVING);
    SlotAsk waiting = nextAsk();
    answers.get(0).onHead(new EngineAnswer(status, List.of(), verdict, false, true));
    grant(waiting, LEAVING);
    assertThat(receivers()).containsExactly(LEAVING);
    assertThat(sent)
        .as("the slot is returned")
        .anyMatch(m -> m.hasEnd() && m.getEnd().getNumber() == waiting.getNumber());
    grant(nextAsk(), STAYING);
    assertThat(receivers()).containsExactly(LEAVING, STAYING);
  }
}
