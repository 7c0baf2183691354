package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.wire.fleet.SlotAsk;

/**
 * A request was sent to an engine that had said in an answer to this host that it was leaving, as
 * the coordinator had granted a slot there before it knew.
 */
class LeavingEngineRunTest extends OnlineRunFixture {
  private static final UpstreamId LEAVING = FIRST;
  private static final UpstreamId STAYING = SECOND;

  /** More than a request may be sent. */
  private static final int MANY_GRANTS = 9;

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
}
