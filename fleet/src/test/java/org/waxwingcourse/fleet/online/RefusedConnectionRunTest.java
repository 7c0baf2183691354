package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.net.ConnectException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotEnd;

/** Requests ended after six sends although no engine had seen them. */
class RefusedConnectionRunTest extends OnlineRunFixture {
  /** More than a request may be sent. */
  private static final int MANY_REFUSALS = 12;

  @ParameterizedTest
  @EnumSource(
      value = RequestKind.class,
      names = {"IDEMPOTENT", "AT_MOST_ONCE", "STREAM"})
  void refusedConnectionsUseUpNoSend(RequestKind kind) throws InterruptedException {
    createService(kind);
    RecordingSink sink = serve("r");
    SlotAsk ask = nextAsk();
    for (int i = 0; i < MANY_REFUSALS; i++) {
      grant(ask, FIRST);
      answers
          .get(i)
          .onEnd(Option.some(CallFailure.notConnected(new ConnectException("Connection refused"))));
      long refused = ask.getNumber();
      ask = nextAsk();
      assertThat(ask.getAvoidList()).containsExactly(FIRST.value());
      synchronized (sent) {
        assertThat(sent)
            .anyMatch(
                m -> m.hasEnd() && m.getEnd().getNumber() == refused && isRefused(m.getEnd()));
      }
    }
    grant(ask, SECOND);
    answers.get(MANY_REFUSALS).onHead(head(204, EngineAnswer.Verdict.RUN));
    answers.get(MANY_REFUSALS).onEnd(Option.none());
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Done.class);
  }

  /** A coordinator of an earlier version sees a lost engine. */
  private static boolean isRefused(SlotEnd end) {
    return end.getRefused() && end.getHow() == SlotEnd.How.ENGINE_LOST;
  }
}
