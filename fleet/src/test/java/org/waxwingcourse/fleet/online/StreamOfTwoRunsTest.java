package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.coordinate.DescribedGrant;
import org.waxwingcourse.fleet.coordinate.SlotListener;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** A stream went on in a run that was asked for another position than that of the stream. */
class StreamOfTwoRunsTest extends OnlineRunFixture {
  private static final EngineAnswer HEAD =
      new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false);

  private void send(int attempt, String data, int firstId, int lastId) {
    for (int id = firstId; id <= lastId; id++) {
      answers.get(attempt).onBytes(event(id, data));
    }
  }

  private void lose(int attempt) {
    answers.get(attempt).onEnd(Option.some(new CallFailure(CallFailure.Kind.LOST, "reset")));
  }

  private static String events(String data, int firstId, int lastId) {
    StringBuilder text = new StringBuilder();
    for (int id = firstId; id <= lastId; id++) {
      text.append("id: ").append(id).append("\ndata: ").append(data).append("\n\n");
    }
    return text.toString();
  }

  /** Serves a stream whose first engine has sent two events and is lost. */
  private RecordingSink serveLostAfterTwoEvents() throws InterruptedException {
    RecordingSink sink = serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(HEAD);
    send(0, "first", 1, 2);
    lose(0);
    return sink;
  }

  /** Answers each run that the engines have received; any after the first sends more events. */
  private void answerFromEachRun() {
    answers.forEach(a -> a.onHead(HEAD));
    send(0, "first", 1, 3);
    for (int other = 1; other < answers.size(); other++) {
      send(other, "second", 1, 5);
    }
  }

  /** Two coordinators grant the same request. */
  @Test
  void requestGrantedTwiceIsAnsweredByOneRun() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r");
    SlotAsk ask = nextAsk();
    SlotListener listener = recordedSlots.listenerOf(ask.getNumber());
    listener.onGrant(FIRST, Option.none(), Duration.ZERO);
    listener.onGrant(SECOND, Option.none(), Duration.ZERO);
    answerFromEachRun();
    assertThat(sink.text).hasToString(events("first", 1, 3));
    assertThat(receivers()).containsExactly(FIRST);
    assertThat(sent).noneMatch(m -> m.hasEnd() && m.getEnd().getNumber() == ask.getNumber());
  }

  @Test
  void requestGrantedByTwoCoordinatorsAtTheSameTimeIsAnsweredByOneRun()
      throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r");
    SlotAsk ask = nextAsk();
    onLearn = e -> CompletableFuture.runAsync(() -> grant(ask, SECOND)).join();
    SlotGrant described = DescribedGrant.of(ask.getNumber(), engines.findEngine(FIRST).get());
    channel.onMessage(
        HostId.of("other"), FleetMessage.newBuilder().setGrant(described).build().toByteArray());
    answerFromEachRun();
    assertThat(sink.text).hasToString(events("first", 1, 3));
    assertThat(received).hasSize(1);
  }

  @Test
  void lateCopyOfAnEarlierRunIsNotJoined() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serveLostAfterTwoEvents();
    grant(nextAsk(), SECOND);
    assertThat(received.get(1).resumeAfter()).contains(2L);
    answers.get(1).onHead(HEAD);
    send(1, "copy", 1, 4);
    assertThat(sink.text).hasToString(events("first", 1, 2));
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Unknown.class);
  }

  @Test
  void runThatLeavesEventsOutIsNotPassedOn() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(HEAD);
    send(0, "first", 1, 2);
    send(0, "first", 4, 5);
    assertThat(sink.text).hasToString(events("first", 1, 2));
    grant(nextAsk(), SECOND);
    assertThat(received.get(1).resumeAfter()).contains(2L);
    answers.get(1).onHead(HEAD);
    send(1, "second", 3, 5);
    answers.get(1).onEnd(Option.none());
    assertThat(sink.text).hasToString(events("first", 1, 2) + events("second", 3, 5));
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Done.class);
  }

  /** Nobody can ask an engine for the events after one that has no id. */
  @Test
  void streamDoesNotGoOnAfterAnEventWithoutId() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(HEAD);
    send(0, "first", 1, 2);
    answers.get(0).onBytes("data: first\n\n".getBytes(StandardCharsets.US_ASCII));
    lose(0);
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Unknown.class);
    assertThat(asks).isEmpty();
  }

  @Test
  void lineWithoutDataDoesNotKeepAStreamFromGoingOn() throws InterruptedException {
    createService(RequestKind.STREAM);
    RecordingSink sink = serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(HEAD);
    send(0, "first", 1, 2);
    answers.get(0).onBytes(": still here\n\n".getBytes(StandardCharsets.US_ASCII));
    lose(0);
    grant(nextAsk(), SECOND);
    assertThat(received.get(1).resumeAfter()).contains(2L);
    assertThat(sink.outcomes).isEmpty();
  }
}
