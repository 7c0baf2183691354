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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineAnswerWatch;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotGrant;

/**
 * A request was sent to an engine that had said in an answer to this host that it was leaving, as
 * the coordinator had granted a slot there before it knew. The test takes the coordinator's part.
 */
class LeavingEngineRunTest {
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final UpstreamId LEAVING = UpstreamId.of("engine-1");
  private static final UpstreamId STAYING = UpstreamId.of("engine-2");
  private static final UpstreamId SUCCESSOR = UpstreamId.of("engine-3");

  /** More than a request may be sent. */
  private static final int MANY_GRANTS = 9;

  private static final Duration PATIENCE = Duration.ofSeconds(10);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final BlockingQueue<SlotAsk> asks = new LinkedBlockingQueue<>();
  private final List<FleetMessage> sent = new ArrayList<>();
  private final List<EngineRequest> received = new ArrayList<>();
  private final List<EngineListener> answers = new ArrayList<>();
  private final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers(this::onSent), clock, FleetFixtures.DATA_CENTRE, List::of);
  private final FleetMessageRouter channel =
      new FleetMessageRouter(null, null, slots, (from, m) -> {});
  private StoreView storeView;
  private EngineDirectory engines;
  private AdmissionGate gate;
  private OnlineService service;

  private void onSent(HostId to, FleetMessage message) {
    synchronized (sent) {
      sent.add(message);
    }
    if (message.hasAsk()) {
      asks.add(message.getAsk());
    }
  }

  @BeforeEach
  void attach() {
    slots.attachTo(COORDINATOR);
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void createService(RequestKind kind) {
    storeView =
        StoreView.of(
            document -> Either.right(FleetFixtures.planOf(FleetFixtures.onlineRoute(kind))),
            clocks,
            FleetFixtures::readEngine);
    engines = new EngineDirectory(storeView.engineTable(), FleetFixtures::readEngine);
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
                    FleetFixtures.engineEntry(STAYING.value(), 2, 8, false, 1, 1),
                    FleetFixtures.engineEntry(SUCCESSOR.value(), 1, 8, false, 2, 1))));
    gate = new AdmissionGate(storeView, clocks, () -> Duration.ofSeconds(4), () -> false);
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
                      return () -> {};
                    },
                    engines,
                    clock),
                slots,
                new MetricRegistry()));
  }

  private RecordingSink serve(String id) {
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
            Option.none(),
            clock.instant(),
            Option.none());
    RecordingSink sink = new RecordingSink();
    service.serve(request, gate.admit("h", "/q/x", Option.none()), sink);
    return sink;
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

  private static EngineAnswer head(int status, EngineAnswer.Verdict verdict) {
    return new EngineAnswer(status, List.of(), verdict, false, true);
  }

  /** Every answer tells: of a run, a refusal, a failure, another engine at the address. */
  @ParameterizedTest
  @CsvSource({
    "RUN, 200",
    "RUN, 500",
    "RUN, 404",
    "FULL, 503",
    "FULL, 429",
    "REFUSED, 400",
    "OTHER_ENGINE, 421",
    "MISMATCHED, 200"
  })
  void nothingIsSentAfterAnyAnswerThatSaysSo(EngineAnswer.Verdict verdict, int status)
      throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("first");
    grant(nextAsk(), LEAVING);
    serve("second");
    SlotAsk waiting = nextAsk();
    answers.get(0).onHead(head(status, verdict));
    grant(waiting, LEAVING);
    assertThat(receivers()).containsExactly(LEAVING);
    assertThat(engines.findEngine(STAYING).exists(EngineEntry::leaving)).isFalse();
  }

  @Test
  void engineThatAnswersInPlaceOfAnotherIsNotUsedEither() throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("first");
    grant(nextAsk(), LEAVING);
    answers.get(0).onHead(head(421, EngineAnswer.Verdict.OTHER_ENGINE));
    assertThat(engines.findEngine(SUCCESSOR).exists(EngineEntry::leaving)).isTrue();
  }

  @ParameterizedTest
  @EnumSource(
      value = RequestKind.class,
      names = {"IDEMPOTENT", "AT_MOST_ONCE", "STREAM"})
  void grantInFlightIsReturnedAndDoesNotCountAsSent(RequestKind kind) throws InterruptedException {
    createService(kind);
    RecordingSink sink = serve("r");
    SlotAsk ask = nextAsk();
    engines.markLeaving(engines.findEngine(LEAVING).get().boot(), RequestId.of("other"));
    for (int i = 0; i < MANY_GRANTS; i++) {
      grant(ask, LEAVING);
      long returned = ask.getNumber();
      ask = nextAsk();
      assertThat(ask.getAvoidList()).containsExactly(LEAVING.value());
      synchronized (sent) {
        assertThat(sent)
            .anyMatch(m -> m.hasEnd() && m.getEnd().getNumber() == returned)
            .noneMatch(m -> m.hasEnd() && m.getEnd().getNumber() > returned);
      }
    }
    grant(ask, STAYING);
    assertThat(receivers()).containsExactly(STAYING);
    assertThat(sink.outcomes).isEmpty();
  }

  @Test
  void streamIsNotContinuedOnAnEngineThatHasSaidSo() throws InterruptedException {
    createService(RequestKind.STREAM);
    engines.markLeaving(engines.findEngine(LEAVING).get().boot(), RequestId.of("other"));
    serve("r");
    grant(nextAsk(), STAYING);
    answers.get(0).onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    answers.get(0).onBytes(event(1));
    answers.get(0).onEnd(Option.some(new CallFailure(CallFailure.Kind.LOST, "reset")));
    grant(nextAsk(), LEAVING);
    assertThat(receivers()).containsExactly(STAYING);
    grant(nextAsk(), SUCCESSOR);
    assertThat(receivers()).containsExactly(STAYING, SUCCESSOR);
    assertThat(received.get(1).resumeAfter()).contains(1L);
  }

  @Test
  void runOfAnEngineThatSaysSoEndsThereUndisturbed() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r");
    grant(nextAsk(), LEAVING);
    answers.get(0).onHead(head(200, EngineAnswer.Verdict.RUN));
    answers.get(0).onBytes(event(1));
    answers.get(0).onBytes(event(2));
    answers.get(0).onEnd(Option.none());
    assertThat(sink.text).hasToString("id: 1\ndata: w\n\nid: 2\ndata: w\n\n");
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Done.class);
    assertThat(receivers()).containsExactly(LEAVING);
    assertThat(asks).isEmpty();
  }

  private static byte[] event(int id) {
    return ("id: " + id + "\ndata: w\n\n").getBytes(StandardCharsets.UTF_8);
  }

  private static final class RecordingSink implements AnswerSink {
    private final StringBuilder text = new StringBuilder();
    private final List<Outcome> outcomes = new ArrayList<>();

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
