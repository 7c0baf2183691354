package org.waxwingcourse.fleet.job;

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
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.RecordedSlots;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
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
import org.waxwingcourse.wire.fleet.ItemHeader;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobItems;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotYield;

/**
 * The jobs of one host, which requests slots of a coordinator and sends items to an engine that the
 * test plays, on a clock that the test advances.
 */
final class RunnerFixture {
  static final JobId JOB = JobId.of("job-1");
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 7);
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final String ENGINE = "e1";

  final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  final ManualTimer timer = new ManualTimer(clock);
  final MemoryStore memory = MemoryStore.of(clock);
  final FaultyStore store = new FaultyStore(memory);

  /** The runs that reached the engine, by item; a later run of an item replaces the earlier one. */
  final Map<String, EngineListener> runs = new HashMap<>();

  /** The requests that the engine received, in order. */
  final List<EngineRequest> received = new ArrayList<>();

  /** Receive the answers to these requests. */
  final List<EngineListener> answers = new ArrayList<>();

  final SlotClient slots;
  final RecordedSlots recordedSlots;

  /** The slots that were given back unused. */
  final List<Long> unusedSlots = new ArrayList<>();

  /** Called with each message to a coordinator. */
  Consumer<FleetMessage> onSent = m -> {};

  /** Called with each request to the engine; returns the call. */
  BiFunction<EngineRequest, EngineListener, StreamCall> onRequest = (r, l) -> () -> {};

  /** Reads the parts of an item's prompt, just before a slot is requested for it. */
  Function<List<ItemHeader>, List<Long>> promptParts = headers -> List.of();

  /** Number of times that an item of the next job may fail; 0 stands for one. */
  int maxAttempts;

  final JobRunner runner;

  private final StoreView storeView;
  private Plan plan;

  /** Runs just before a job starts, when it is known to other threads already. */
  Runnable onStarted = () -> {};

  private final List<Long> asks = new ArrayList<>();
  private final FleetMessageRouter channel;

  /** Creates a host without jobs. */
  RunnerFixture() {
    this(Option.some(FleetFixtures.jobPlan()));
  }

  /** Creates a host without jobs. */
  RunnerFixture(Option<Plan> configuration) {
    Clocks clocks = new Clocks(clock, clock);
    storeView = StoreView.of(document -> Either.right(plan), clocks);
    configuration.forEach(p -> applyPlan(p, 1));
    EngineDirectory engines = new EngineDirectory(storeView.engineTable(), e -> Option.none());
    engines.learn(
        new EngineEntry(
            UpstreamId.of(ENGINE),
            ServiceName.of("s"),
            new InetSocketAddress("127.0.0.1", 1),
            FleetFixtures.DATA_CENTRE,
            8,
            false,
            0));
    slots =
        new SlotClient(
            FleetFixtures.recordingPeers((to, message) -> onSent(message)),
            clock,
            FleetFixtures.DATA_CENTRE,
            List::of);
    slots.attachTo(COORDINATOR);
    recordedSlots = new RecordedSlots(slots);
    channel = new FleetMessageRouter(null, null, slots, (from, m) -> {}, (from, m) -> {});
    runner =
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
                  received.add(request);
                  answers.add(listener);
                  return onRequest.apply(request, listener);
                },
                recordedSlots,
                new BatchRunTimes(),
                job -> onStarted.run(),
                job -> {},
                headers -> promptParts.apply(headers),
                h -> RequestSize.UNKNOWN));
  }

  /** Applies a configuration. */
  void applyPlan(Plan next, long revision) {
    plan = next;
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(revision), "plan".getBytes(StandardCharsets.UTF_8)));
  }

  private void onSent(FleetMessage message) {
    onSent.accept(message);
    if (message.hasAsk()) {
      asks.add(message.getAsk().getNumber());
    } else if (message.hasEnd() && message.getEnd().getUnsent()) {
      unusedSlots.add(message.getEnd().getNumber());
    }
  }

  /** Stores a job of this host and runs it. */
  void runJob(int items) {
    JobRecord.Builder record =
        JobRecord.newBuilder()
            .setOrganisation("parish")
            .setRoute("jobs")
            .setItemParts(1)
            .setMaxAttempts(maxAttempts)
            .setDueMillis(clock.instant().plusSeconds(60).toEpochMilli())
            .setGiveUpMillis(clock.instant().plusSeconds(90).toEpochMilli())
            .setRunner(SELF.host().value())
            .setRunnerBoot(SELF.boot());
    JobItems.Builder list = JobItems.newBuilder();
    for (int i = 0; i < items; i++) {
      record.addItemTokens(10);
      list.addItems(JobItem.newBuilder().setId("item-" + i).setTokens(10));
    }
    memory
        .write(
            Transaction.builder()
                .put(StoreKeys.jobKey(JOB), record.build().toByteArray())
                .put(StoreKeys.runnerKey(JOB), SELF.encode())
                .put(StoreKeys.itemsKey(JOB, 0), list.build().toByteArray())
                .build())
        .join();
    resumeJob();
  }

  /** Runs the stored job. */
  void resumeJob() {
    asks.clear();
    runner.takeOver(JOB);
    timer.advance(Duration.ZERO);
  }

  /** Ends the job in the store, and tells nobody. */
  void closeInStore() {
    JobRecord record = new JobStore(memory).readRecord(JOB).join().get().get().record();
    memory
        .write(
            Transaction.builder()
                .put(
                    StoreKeys.jobKey(JOB), record.toBuilder().setClosed(true).build().toByteArray())
                .delete(StoreKeys.runnerKey(JOB))
                .build())
        .join();
  }

  /** Grants a slot to each item that waits for one. Returns the numbers of the requests. */
  List<Long> grantAll() {
    timer.advance(Duration.ZERO);
    List<Long> granted = List.copyOf(asks);
    asks.clear();
    for (long number : granted) {
      receive(
          FleetMessage.newBuilder()
              .setGrant(SlotGrant.newBuilder().setNumber(number).setEngine(ENGINE)));
    }
    timer.advance(Duration.ZERO);
    return granted;
  }

  /** Takes a slot away. */
  void preempt(long number) {
    receive(FleetMessage.newBuilder().setYield(SlotYield.newBuilder().setNumber(number)));
  }

  private void receive(FleetMessage.Builder message) {
    receive(COORDINATOR, message.build());
  }

  /** Receives a message of a coordinator. */
  void receive(HostId from, FleetMessage message) {
    channel.onMessage(from, message.toByteArray());
  }

  /** Finishes an item on the engine. Items whose engine has been silent for long ask again. */
  void finish(int item, String... events) {
    grantAll();
    EngineListener run = runs.get("item-" + item);
    run.onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    for (String event : events) {
      run.onBytes(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
    run.onEnd(Option.none());
  }

  /** Returns the results that the store holds. */
  List<JobResult> stored() {
    return new JobStore(memory).readResults(JOB).join().get();
  }

  /** Ends the timer. */
  void stop() {
    timer.shutdownNow();
  }
}
