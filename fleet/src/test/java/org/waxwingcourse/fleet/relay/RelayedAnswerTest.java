package org.waxwingcourse.fleet.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.engine.StatedLimit;
import org.waxwingcourse.fleet.reach.DirectSender;
import org.waxwingcourse.fleet.reach.ReachMonitor;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage.BodyCase;

/** What a caller or the coordinator concludes from an answer differed if it was relayed. */
class RelayedAnswerTest {
  private final ManualClock clock = ManualClock.at(RelayFixtures.START);
  private final RelayFixtures.Messages messages = new RelayFixtures.Messages();
  private final RelayFixtures.RecordingListener answer = new RelayFixtures.RecordingListener();
  private final RelayHosts hosts = new RelayHosts(clock, new Random(1));
  private final RelayClient client =
      new RelayClient(
          RelayFixtures.BOOT, FleetFixtures.recordingPeers(messages::add), hosts, clock);
  private final UnreachedEngines engines = new UnreachedEngines();
  private final ReachMonitor reach =
      new ReachMonitor(engines, () -> List.of(RelayFixtures.ENGINE), clock);

  static List<EngineAnswer> heads() {
    List<Header> headers = List.of(Header.of("Set-Cookie", "a"), Header.of("set-cookie", "b"));
    return List.of(
        new EngineAnswer(
            503, headers, EngineAnswer.Verdict.FULL, true, true, new StatedLimit.Unreadable("x/s")),
        new EngineAnswer(
            200,
            headers,
            EngineAnswer.Verdict.OTHER_ENGINE,
            false,
            false,
            new StatedLimit.Limit(new RequestRate(0.1))),
        RelayFixtures.HEAD);
  }

  @ParameterizedTest
  @MethodSource("heads")
  void statusHeadersVerdictLimitAndLeavingPassUnchanged(EngineAnswer head) {
    assertThat(RelayCodec.decode(RelayCodec.encode(head))).isEqualTo(head);
  }

  /** A verdict without a counterpart threw where the answer arrived. */
  @ParameterizedTest
  @EnumSource(EngineAnswer.Verdict.class)
  void allVerdictsPass(EngineAnswer.Verdict verdict) {
    EngineAnswer head = new EngineAnswer(200, List.of(), verdict, false, false);
    assertThat(RelayCodec.decode(RelayCodec.encode(head)).verdict()).isEqualTo(verdict);
  }

  /** An end without a counterpart left the caller without one. */
  @ParameterizedTest
  @EnumSource(value = CallFailure.Kind.class, mode = EnumSource.Mode.EXCLUDE, names = "LINK_LOST")
  void allEndsPass(CallFailure.Kind kind) {
    Option<CallFailure> end = Option.some(new CallFailure(kind, "m", true));
    assertThat(RelayCodec.decode(RelayCodec.encode(end).build())).isEqualTo(end);
  }

  @Test
  void requestPassesUnchangedThoughTheClocksDiffer() {
    EngineRequest request = RelayFixtures.request();
    EngineRequest received =
        RelayCodec.decode(
            RelayCodec.encode(request, 1, 2, RelayFixtures.START),
            RelayFixtures.ENGINE,
            RelayFixtures.START.plusSeconds(100));
    assertThat(received).usingRecursiveComparison().ignoringFields("deadline").isEqualTo(request);
    assertThat(received.deadline().remaining(RelayFixtures.START.plusSeconds(100)))
        .isEqualTo(request.deadline().remaining(RelayFixtures.START));
  }

  private void send() {
    new RelayingSender(new DirectSender(engines, reach), client, hosts, reach, Runnable::run)
        .send(RelayFixtures.request(), answer);
  }

  /** A request that may have run was given to the next host, and ran twice. */
  @Test
  void requestWhoseHostFellSilentIsGivenToNoOther() {
    hosts.update(List.of(HostId.of("b"), HostId.of("c")));
    send();
    assertThat(messages.of(BodyCase.RELAY_REQUEST)).hasSize(1);
    client.checkOpenRequests();
    clock.advance(RelayFixtures.millis(600));
    client.checkOpenRequests();
    clock.advance(RelayFixtures.millis(101));
    client.checkOpenRequests();
    assertThat(answer.calls).containsExactly("LINK_LOST");
    assertThat(messages.of(BodyCase.RELAY_REQUEST)).hasSize(1);
  }

  /** Each attempt waited for a connection to time out, for seconds in all. */
  @Test
  void requestIsNotSentWhileNoHostReachesEngines() {
    reach.confirmOutOfReach(clock.instant());
    hosts.update(List.of());
    send();
    assertThat(engines.sent).isZero();
    assertThat(answer.calls).containsExactly("OUT_OF_REACH");
  }

  /** A host that has not been named others yet refused what they could have sent. */
  @Test
  void requestIsSentWhileItIsNotKnownWhoReachesEngines() {
    hosts.update(List.of());
    clock.advance(RelayFixtures.millis(500));
    reach.confirmOutOfReach(clock.instant());
    send();
    assertThat(engines.sent).isEqualTo(1);
  }

  private static final class UnreachedEngines implements EngineSender {
    private int sent;

    @Override
    public StreamCall send(EngineRequest request, EngineListener listener) {
      sent++;
      listener.onEnd(Option.some(new CallFailure(CallFailure.Kind.NOT_SENT, "timed out")));
      return () -> {};
    }

    @Override
    public CompletableFuture<Boolean> canConnect(EngineEntry engine) {
      return CompletableFuture.completedFuture(false);
    }
  }
}
