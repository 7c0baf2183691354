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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.quarantine.CrashingRequests;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage;

/**
 * A job that arrives as a host receives its first configuration: refused by the first decision, it
 * was admitted by a second one and run on an engine like an online request.
 */
class AdmittedOnceTest {
  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<FleetMessage> sent = new ArrayList<>();
  private final List<Outcome> outcomes = new ArrayList<>();
  private final AdmissionGate gate =
      new AdmissionGate(storeView, clocks, () -> Duration.ofSeconds(4), answerBy -> true);

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  @Test
  void requestThatWasNotAdmittedIsNotAdmittedLater() {
    SlotClient slots =
        new SlotClient(
            FleetFixtures.recordingPeers((to, message) -> sent.add(message)),
            clock,
            FleetFixtures.DATA_CENTRE,
            List::of);
    slots.attachTo(HostId.of("coordinator"));
    OnlineService service =
        new OnlineService(
            new OnlineService.Ports(
                clock,
                timer,
                new Random(1),
                gate,
                storeView,
                new EngineDirectory(storeView.engineTable(), e -> Option.none()),
                (request, listener) -> () -> {},
                slots,
                new CrashingRequests(),
                new StreamOrigins(),
                new MetricRegistry()));
    var refused = gate.admit("h", "/j/x", Option.none(), Option.none());
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
    service.serve(request, refused, new RecordingSink());
    assertThat(outcomes).hasSize(1).first().isInstanceOf(Outcome.Refused.class);
    assertThat(sent).noneMatch(FleetMessage::hasAsk);
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
