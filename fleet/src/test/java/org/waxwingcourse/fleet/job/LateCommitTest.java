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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobItems;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** Commits of results that the store does not answer and executes after later ones. */
class LateCommitTest {
  private static final JobId JOB = JobId.of("job-1");
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 7);
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final int ITEMS = 4;

  /** Longer than a finished item waits for others, shorter than until a commit is tried again. */
  private static final Duration COMMIT_TIME = Duration.ofMillis(200);

  private static final Duration ALL_RETRIES = Duration.ofSeconds(2);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore memory = MemoryStore.of(clock);
  private final FaultyStore store = new FaultyStore(memory);
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final EngineDirectory engines =
      new EngineDirectory(storeView.engineTable(), e -> Option.none());
  private final List<FleetMessage> asks = new ArrayList<>();
  private final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers(
              (to, message) -> {
                if (message.hasAsk()) {
                  asks.add(message);
                }
              }),
          clock,
          FleetFixtures.DATA_CENTRE,
          List::of);
  private final FleetMessageRouter channel =
      new FleetMessageRouter(null, null, slots, (from, m) -> {});
  private final Map<String, EngineListener> runs = new HashMap<>();
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
              engines,
              (request, listener) -> {
                runs.put(request.id().value(), listener);
                return () -> {};
              },
              slots,
              new BatchRunTimes(),
              job -> {},
              job -> {},
              headers -> List.of()));

  @BeforeEach
  void runJob() {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    engines.learn(
        new EngineEntry(
            UpstreamId.of("e1"),
            ServiceName.of("s"),
            new InetSocketAddress("127.0.0.1", 1),
            FleetFixtures.DATA_CENTRE,
            8,
            false,
            0));
    slots.attachTo(COORDINATOR);
    storeJob();
    resumeJob();
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void storeJob() {
    JobRecord.Builder record =
        JobRecord.newBuilder()
            .setOrganisation("parish")
            .setRoute("jobs")
            .setItemParts(1)
            .setDueMillis(clock.instant().plusSeconds(60).toEpochMilli())
            .setGiveUpMillis(clock.instant().plusSeconds(90).toEpochMilli())
            .setRunner(SELF.host().value())
            .setRunnerBoot(SELF.boot());
    JobItems.Builder items = JobItems.newBuilder();
    for (int i = 0; i < ITEMS; i++) {
      record.addItemTokens(10);
      items.addItems(JobItem.newBuilder().setId("item-" + i).setTokens(10));
    }
    memory
        .write(
            Transaction.builder()
                .put(StoreKeys.jobKey(JOB), record.build().toByteArray())
                .put(StoreKeys.runnerKey(JOB), SELF.encode())
                .put(StoreKeys.itemsKey(JOB, 0), items.build().toByteArray())
                .build())
        .join();
  }

  private void resumeJob() {
    asks.clear();
    runner.takeOver(JOB);
    grantAll();
  }

  /** Items whose engine has been silent for long ask again. */
  private void grantAll() {
    timer.advance(Duration.ZERO);
    for (FleetMessage ask : List.copyOf(asks)) {
      SlotGrant.Builder grant =
          SlotGrant.newBuilder().setNumber(ask.getAsk().getNumber()).setEngine("e1");
      channel.onMessage(
          COORDINATOR, FleetMessage.newBuilder().setGrant(grant).build().toByteArray());
    }
    asks.clear();
    timer.advance(Duration.ZERO);
  }

  private void finish(int item, String text) {
    grantAll();
    EngineListener run = runs.get("item-" + item);
    run.onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    run.onBytes(("data: " + text + "\n\n").getBytes(StandardCharsets.US_ASCII));
    run.onEnd(Option.none());
  }

  private void finish(int item) {
    finish(item, "text " + item);
  }

  private List<String> storedItems() {
    return new JobStore(memory)
        .readResults(JOB).join().get().stream().map(JobResult::getItem).toList();
  }

  private List<String> shownItems() {
    return runner.findJob(JOB).get().page(0).results().stream().map(JobResult::getItem).toList();
  }

  private boolean hasRunnerEntry() {
    return memory.readDirectly(KeyRange.ofKey(StoreKeys.runnerKey(JOB))).firstEntry().isPresent();
  }

  private static List<String> items(int... indexes) {
    return IntStream.of(indexes).mapToObj(i -> "item-" + i).toList();
  }

  /** The results of the late commit were appended once more, and later positions changed. */
  @Test
  void resultsStandOnceThoughTheirCommitIsExecutedLate() {
    store.failWrites(FaultyStore.WriteFault.LATE);
    finish(0);
    timer.advance(COMMIT_TIME);
    finish(1);
    store.executeLateWrites();
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1));
    assertThat(shownItems()).containsExactlyElementsOf(items(0, 1));
    finish(2);
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1, 2));
    assertThat(hasRunnerEntry()).as("entry of an unfinished job").isTrue();
    finish(3);
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1, 2, 3));
    assertThat(runner.countRunning()).isZero();
    assertThat(hasRunnerEntry()).as("entry of a finished job").isFalse();
  }

  /** Only one of two commits under the same condition is executed, whichever comes first. */
  @Test
  void resultsStandOnceThoughTwoCommitsAreExecutedLate() {
    store.failWrites(FaultyStore.WriteFault.LATE);
    finish(0);
    timer.advance(COMMIT_TIME);
    finish(1);
    store.failWrites(FaultyStore.WriteFault.LATE);
    timer.advance(Duration.ofMillis(500));
    finish(2);
    store.executeLateWrites();
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1, 2));
    assertThat(shownItems()).containsExactlyElementsOf(items(0, 1, 2));
  }

  /** The texts at a position stay those that the store holds, not those of a second run. */
  @Test
  void resultOfAnEarlierRunInThisProcessStays() {
    store.failWrites(FaultyStore.WriteFault.LATE);
    finish(0, "first");
    timer.advance(COMMIT_TIME);
    runner.findJob(JOB).get().stop("taken over in between");
    timer.advance(Duration.ZERO);
    resumeJob();
    store.executeLateWrites();
    finish(0, "second");
    finish(1);
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1));
    assertThat(runner.findJob(JOB).get().page(0).results().get(0).getText()).isEqualTo("first");
  }
}
