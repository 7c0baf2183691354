package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;

/** A stream went on at an engine of another software version than the one that began it. */
class StreamVersionRunTest extends OnlineRunFixture {
  @Override
  Option<String> versionOf(String engine) {
    return Option.some(engine.equals(SECOND.value()) ? "v1.2" : "v1.1");
  }

  private void sendEvents(int attempt, int events) {
    answers
        .get(attempt)
        .onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    for (int i = 1; i <= events; i++) {
      answers.get(attempt).onBytes(event(i));
    }
  }

  private void breakOffAfterEvents(int attempt, int events) {
    sendEvents(attempt, events);
    answers.get(attempt).onEnd(Option.some(new CallFailure(CallFailure.Kind.LOST, "reset")));
  }

  @Test
  void streamIsNotContinuedByAnotherVersion() throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("r");
    grant(nextAsk(), FIRST);
    breakOffAfterEvents(0, 2);
    grant(nextAsk(), SECOND);
    assertThat(receivers()).containsExactly(FIRST);
  }

  @Test
  void anyVersionMayBeginAStream() throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("r");
    grant(nextAsk(), FIRST);
    breakOffAfterEvents(0, 0);
    grant(nextAsk(), SECOND);
    assertThat(receivers()).containsExactly(FIRST, SECOND);
  }

  @Test
  void slotIsRequestedForTheVersionThatBeganTheStream() throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("r");
    assertThat(nextAskGrantedTo(FIRST).getSoftware()).isZero();
    breakOffAfterEvents(0, 2);
    SlotAsk next = nextAsk();
    assertThat(next.getSoftware()).isEqualTo(softwareOf(FIRST));
    grant(next, SUCCESSOR);
    assertThat(receivers()).containsExactly(FIRST, SUCCESSOR);
  }

  @Test
  void streamThatNoEngineCanGoOnWithIsLeftIncomplete() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r");
    nextAskGrantedTo(FIRST);
    breakOffAfterEvents(0, 2);
    refuse(nextAsk());
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Unknown.class);
  }

  @Test
  void hostThatBeganAStreamKnowsItsVersionWhenTheCallerTakesItUp() throws InterruptedException {
    createService(RequestKind.STREAM);
    Call first = serve("r", Option.none(), Option.none()).call;
    nextAskGrantedTo(FIRST);
    sendEvents(0, 2);
    first.cancel();
    serve("r-2", Option.some(2L), Option.some("r"));
    SlotAsk next = nextAsk();
    assertThat(next.getStreamBegun()).isTrue();
    assertThat(next.getSoftware()).isEqualTo(softwareOf(FIRST));
  }

  /** The engine has started again with another version, of which only this host has heard yet. */
  @Test
  void grantForAnotherVersionThanIsKnownHereIsNotUsed() throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("r-2", Option.some(2L), Option.some("r"));
    SlotGrant.Builder grant =
        SlotGrant.newBuilder()
            .setNumber(nextAsk().getNumber())
            .setEngine(SECOND.value())
            .setSoftware(softwareOf(FIRST));
    channel.onMessage(COORDINATOR, FleetMessage.newBuilder().setGrant(grant).build().toByteArray());
    assertThat(received).isEmpty();
    nextAskGrantedTo(FIRST);
    assertThat(receivers()).containsExactly(FIRST);
  }

  @Test
  void streamThatIsTakenUpAgainIsKnownByItsFirstRequest() throws InterruptedException {
    createService(RequestKind.STREAM);
    streams.record(StreamKey.of("", "r"), new SoftwareId(softwareOf(FIRST)), clock.instant());
    serve("r-2", Option.some(2L), Option.some("r"));
    nextAskGrantedTo(FIRST);
    breakOffAfterEvents(0, 3);
    assertThat(nextAsk().getStream()).isEqualTo(StreamKey.of("", "r").hash());
  }

  @Test
  void coordinatorIsAskedForAStreamOfAnotherHost() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r-2", Option.some(2L), Option.some("r"));
    SlotAsk ask = nextAsk();
    assertThat(ask.getStreamBegun()).isTrue();
    assertThat(ask.getSoftware()).isZero();
    assertThat(ask.getStream()).isEqualTo(StreamKey.of("", "r").hash());
    refuse(ask);
    Outcome.Refused refused = (Outcome.Refused) sink.outcomes.get(0);
    assertThat(refused.refusal().code()).isEqualTo(RefusalCode.STREAM_UNKNOWN);
    assertThat(received).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 257, 100_000})
  void callerMayNameNoRequestOrAnOverlongOne(int length) throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("r-2", Option.some(2L), Option.when(length > 0, "x".repeat(length)));
    SlotAsk ask = nextAsk();
    assertThat(ask.getStreamBegun()).isTrue();
    assertThat(ask.getStream()).isZero();
  }

  private long softwareOf(UpstreamId engine) {
    return engines.findEngine(engine).get().software().hash();
  }

  private SlotAsk nextAskGrantedTo(UpstreamId engine) throws InterruptedException {
    SlotAsk ask = nextAsk();
    grant(ask, engine);
    return ask;
  }

  private void refuse(SlotAsk ask) {
    SlotRefusal.Builder refusal =
        SlotRefusal.newBuilder().setNumber(ask.getNumber()).setStreamUnknown(true);
    channel.onMessage(
        COORDINATOR, FleetMessage.newBuilder().setRefusal(refusal).build().toByteArray());
  }
}
