package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** Tests an item under which engines crash, whatever prompt parts it shares with others. */
class CrashingItemTest {
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 1);
  private static final UpstreamId ENGINE = UpstreamId.of("engine");

  /** As many runs as an item may have that engines fail: three times the attempts of its route. */
  private static final int MAX_RUNS = 9;

  private static final Duration GIVE_UP_AFTER = Duration.ofSeconds(60);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final EngineDirectory engines =
      new EngineDirectory(storeView.engineTable(), e -> Option.none());
  private final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers((to, m) -> grant(m)),
          clock,
          FleetFixtures.DATA_CENTRE,
          List::of);
  private final FleetMessageRouter channel =
      new FleetMessageRouter(null, null, slots, (from, m) -> {}, (from, m) -> {});
  private final List<Instant> runs = new ArrayList<>();
  private int eventsOfEachRun;
  private CallFailure.Kind failure = CallFailure.Kind.LOST;
  private boolean alternates;

  @BeforeEach
  void listEngine() {
    engines.learn(
        new EngineEntry(
            ENGINE,
            ServiceName.of("s"),
            new InetSocketAddress("127.0.0.1", 1),
            FleetFixtures.DATA_CENTRE,
            8,
            false,
            1));
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void grant(FleetMessage message) {
    if (message.hasAsk()) {
      SlotGrant.Builder grant =
          SlotGrant.newBuilder().setNumber(message.getAsk().getNumber()).setEngine(ENGINE.value());
      byte[] answer = FleetMessage.newBuilder().setGrant(grant).build().toByteArray();
      timer.execute(() -> channel.onMessage(COORDINATOR, answer));
    }
  }

  /** Runs a request on an engine that crashes, after some events if there are any. */
  private StreamCall crash(EngineRequest request, EngineListener listener) {
    runs.add(clock.instant());
    Runnable end =
        () -> {
          if (alternates && runs.size() % 2 == 0) {
            listener.onEnd(Option.some(new CallFailure(CallFailure.Kind.NOT_SENT, "refused")));
            return;
          }
          long after = request.resumeAfter().getOrElse(0L);
          listener.onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
          for (long n = after + 1; n <= after + eventsOfEachRun; n++) {
            String event = "id: " + n + "\ndata: word\n\n";
            listener.onBytes(event.getBytes(StandardCharsets.UTF_8));
          }
          listener.onEnd(Option.some(new CallFailure(failure, "closed")));
        };
    timer.schedule(end, 40, TimeUnit.MILLISECONDS);
    return () -> {};
  }

  private void runJob() {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    JobRecord record =
        JobRecord.newBuilder()
            .setRoute("jobs")
            .setOrganisation("parish")
            .setDueMillis(clock.instant().plusSeconds(18).toEpochMilli())
            .setGiveUpMillis(clock.instant().plus(GIVE_UP_AFTER).toEpochMilli())
            .setRunner(SELF.host().value())
            .setRunnerBoot(SELF.boot())
            .build();
    MemoryStore store = MemoryStore.of(clock);
    JobId job = JobId.of("job-1");
    store
        .write(Transaction.builder().put(StoreKeys.jobKey(job), record.toByteArray()).build())
        .join();
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
            this::crash,
            slots,
            new BatchRunTimes(),
            started -> {},
            finished -> {},
            headers -> List.of(),
            h -> RequestSize.UNKNOWN);
    slots.attachTo(COORDINATOR);
    new RunningJob(
            job,
            new JobStore.StoredRecord(record, Revision.of(1)),
            List.of(JobItem.newBuilder().setId("item-1").build()),
            List.of(),
            new AskedAt(clock.instant(), 1),
            ports,
            () -> {})
        .start();
  }

  @Test
  void itemThatCrashesEachEngineEndsFewEngines() {
    runJob();
    timer.advance(GIVE_UP_AFTER);
    assertThat(runs).hasSizeBetween(2, MAX_RUNS);
    assertThat(Duration.between(runs.get(0), runs.get(1))).isLessThan(Duration.ofMillis(200));
  }

  @Test
  void crashesCountInARowAlthoughCrashedEnginesAreTriedBetween() {
    alternates = true;
    runJob();
    timer.advance(GIVE_UP_AFTER);
    assertThat(runs).hasSizeBetween(2, 2 * MAX_RUNS);
  }

  @Test
  void itemWhoseEnginesCannotBeReachedIsTriedAFewTimesASecond() {
    failure = CallFailure.Kind.NOT_SENT;
    runJob();
    timer.advance(Duration.ofSeconds(10));
    assertThat(runs).hasSizeBetween(20, 100);
  }

  @Test
  void itemThatGoesOnWithEachRunIsNotDelayed() {
    eventsOfEachRun = 3;
    runJob();
    timer.advance(Duration.ofSeconds(1));
    assertThat(runs).hasSizeGreaterThan(20);
  }
}
