package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.quarantine.CrashingRequests;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** A request whose slot is granted on an engine of another service is not sent there. */
class GrantedServiceTest {
  private static final HostId COORDINATOR = HostId.of("coordinator");

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<FleetMessage> sent = new ArrayList<>();
  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<String> runs = new ArrayList<>();
  private final EngineDirectory engines =
      new EngineDirectory(storeView.engineTable(), e -> Option.none());
  private final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers((to, message) -> sent.add(message)),
          clock,
          FleetFixtures.DATA_CENTRE,
          List::of);
  private final AdmissionGate gate =
      new AdmissionGate(storeView, clocks, () -> Duration.ofSeconds(4), answerBy -> true);

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  @Test
  void grantOfAnEngineOfAnotherServiceIsNotUsed() {
    slots.attachTo(COORDINATOR);
    OnlineService service =
        new OnlineService(
            new OnlineService.Ports(
                clock,
                timer,
                new Random(1),
                gate,
                storeView,
                engines,
                (request, listener) -> {
                  runs.add(request.engine().id().value());
                  return () -> {};
                },
                slots,
                new CrashingRequests(),
                new StreamOrigins(),
                new MetricRegistry()));
    byte[] document = "plan".getBytes(StandardCharsets.UTF_8);
    storeView.applyIfNewer(new StoreView.ConfigurationDocument(Revision.of(1), document));
    OnlineRequest request =
        new OnlineRequest(
            RequestId.of("job-1"),
            "h",
            "POST",
            "/j/x",
            List.of(),
            new byte[0],
            Option.none(),
            List.of(),
            Option.none(),
            Option.none(),
            clock.instant(),
            Option.none(),
            RequestSize.UNKNOWN);
    service.serve(
        request, gate.admit("h", "/j/x", Option.none(), Option.none()), new RecordingSink());
    learnEngine("other-1", "other");
    learnEngine("engine-1", "s");
    grant("other-1");
    assertThat(runs).isEmpty();
    grant("engine-1");
    assertThat(runs).containsExactly("engine-1");
    assertThat(outcomes).isEmpty();
  }

  private void grant(String engine) {
    long number =
        sent.stream()
            .filter(FleetMessage::hasAsk)
            .mapToLong(m -> m.getAsk().getNumber())
            .max()
            .getAsLong();
    SlotGrant.Builder grant = SlotGrant.newBuilder().setNumber(number).setEngine(engine);
    new FleetMessageRouter(null, null, slots, (from, m) -> {}, (from, m) -> {})
        .onMessage(COORDINATOR, FleetMessage.newBuilder().setGrant(grant).build().toByteArray());
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

  private final class RecordingSink implements AnswerSink {
    @Override
    public void onHead(EngineAnswer head) {}

    @Override
    public void onBytes(byte[] bytes) {}

    @Override
    public void onEnd(Outcome outcome) {
      outcomes.add(outcome);
    }
  }
}
