package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
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
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.RecordedSlots;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineCondition;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.quarantine.CrashingRequests;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineAnswerWatch;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** Serves online requests on one host; the test takes the coordinator's and the engines' part. */
abstract class OnlineRunFixture {
  static final HostId COORDINATOR = HostId.of("coordinator");
  static final UpstreamId FIRST = UpstreamId.of("engine-1");
  static final UpstreamId SECOND = UpstreamId.of("engine-2");

  /** Starts at the address of the first, later. */
  static final UpstreamId SUCCESSOR = UpstreamId.of("engine-3");

  private static final Duration PATIENCE = Duration.ofSeconds(10);

  final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  final Clocks clocks = new Clocks(clock, clock);
  final ScheduledExecutorService timer;
  final BlockingQueue<SlotAsk> asks = new LinkedBlockingQueue<>();
  final List<FleetMessage> sent = new ArrayList<>();
  final List<EngineRequest> received = new ArrayList<>();
  final List<EngineListener> answers = new ArrayList<>();

  /** Runs while the host takes a grant that describes its engine. */
  Consumer<EngineEntry> onLearn = e -> {};

  final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers(this::onSent),
          clock,
          FleetFixtures.DATA_CENTRE,
          FleetFixtures.learningEngines(e -> onLearn.accept(e)));
  final RecordedSlots recordedSlots = new RecordedSlots(slots);
  final FleetMessageRouter channel =
      new FleetMessageRouter(null, null, slots, (from, m) -> {}, (from, m) -> {});
  final CrashingRequests crashingRequests = new CrashingRequests();
  final StreamOrigins streams = new StreamOrigins();
  StoreView storeView;
  EngineDirectory engines;
  AdmissionGate gate;
  OnlineService service;

  /** Creates a host whose timer is a thread. */
  OnlineRunFixture() {
    this(clock -> Executors.newSingleThreadScheduledExecutor());
  }

  /** Creates a host with a timer. */
  OnlineRunFixture(Function<ManualClock, ScheduledExecutorService> timerOf) {
    timer = timerOf.apply(clock);
  }

  /** Called with each message to a coordinator. */
  void onMessage(FleetMessage message) {}

  /** Called with each request to an engine; returns the call. */
  StreamCall onRequest(EngineRequest request, EngineListener listener) {
    return () -> {};
  }

  private void onSent(HostId to, FleetMessage message) {
    onMessage(message);
    synchronized (sent) {
      sent.add(message);
    }
    if (message.hasAsk()) {
      asks.add(message.getAsk());
    }
  }

  @BeforeEach
  final void attach() {
    slots.attachTo(COORDINATOR);
  }

  @AfterEach
  final void stop() {
    timer.shutdownNow();
  }

  final void createService(RequestKind kind) {
    createService(FleetFixtures.onlineRoute(kind));
  }

  final void createService(Route route) {
    storeView =
        StoreView.of(
            document -> Either.right(FleetFixtures.planOf(route)), clocks, this::readEngine);
    engines = new EngineDirectory(storeView.engineTable(), this::readEngine);
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    storeView
        .engineTable()
        .replaceFromRead(
            new Snapshot(
                Revision.of(1),
                List.of(
                    FleetFixtures.engineEntry(FIRST.value(), 1, 8, false, 1, 1),
                    FleetFixtures.engineEntry(SECOND.value(), 2, 8, false, 1, 1),
                    FleetFixtures.engineEntry(SUCCESSOR.value(), 1, 8, false, 2, 1))));
    gate = new AdmissionGate(storeView, clocks, () -> Duration.ofSeconds(4), answerBy -> true);
    service =
        new OnlineService(
            new OnlineService.Ports(
                clock,
                timer,
                new Random(1),
                gate,
                storeView,
                engines,
                new EngineAnswerWatch(
                    (request, listener) -> {
                      received.add(request);
                      answers.add(listener);
                      return onRequest(request, listener);
                    },
                    engines,
                    clock),
                recordedSlots,
                crashingRequests,
                streams,
                new MetricRegistry()));
  }

  /** Returns the version that an engine's entry states. */
  Option<String> versionOf(String engine) {
    return Option.some("v1");
  }

  /** Returns the region of an engine's data centre. */
  Option<String> regionOf(UpstreamId engine) {
    return Option.none();
  }

  private Option<EngineEntry> readEngine(Entry entry) {
    return FleetFixtures.readEngine(entry)
        .map(e -> e.withVersion(versionOf(e.id().value())))
        .map(e -> e.withCondition(EngineCondition.NORMAL.withRegion(regionOf(e.id()))));
  }

  final RecordingSink serve(String id) {
    return serve(id, Option.none(), Option.none());
  }

  final RecordingSink serve(String id, Option<Long> resumeAfter, Option<String> resumes) {
    OnlineRequest request =
        new OnlineRequest(
            RequestId.of(id),
            "h",
            "POST",
            "/q/x",
            List.of(),
            new byte[0],
            Option.none(),
            List.of(),
            resumeAfter,
            resumes,
            clock.instant(),
            Option.none(),
            RequestSize.UNKNOWN);
    RecordingSink sink = new RecordingSink();
    sink.call = service.serve(request, gate.admit("h", "/q/x", Option.none(), Option.none()), sink);
    return sink;
  }

  final SlotAsk nextAsk() throws InterruptedException {
    SlotAsk ask = asks.poll(PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    assertThat(ask).as("request for a slot").isNotNull();
    return ask;
  }

  final void grant(SlotAsk ask, UpstreamId engine) {
    SlotGrant.Builder grant =
        SlotGrant.newBuilder().setNumber(ask.getNumber()).setEngine(engine.value());
    channel.onMessage(COORDINATOR, FleetMessage.newBuilder().setGrant(grant).build().toByteArray());
  }

  final List<UpstreamId> receivers() {
    return received.stream().map(r -> r.engine().id()).toList();
  }

  static EngineAnswer head(int status, EngineAnswer.Verdict verdict) {
    return new EngineAnswer(status, List.of(), verdict, false, true);
  }

  static byte[] event(int id) {
    return event(id, "w");
  }

  static byte[] event(int id, String data) {
    return ("id: " + id + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  static final class RecordingSink implements AnswerSink {
    final StringBuilder text = new StringBuilder();
    final List<Outcome> outcomes = new ArrayList<>();
    Call call;

    @Override
    public void onHead(EngineAnswer head) {}

    @Override
    public void onBytes(byte[] bytes) {
      text.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void onEnd(Outcome outcome) {
      outcomes.add(outcome);
    }
  }
}
