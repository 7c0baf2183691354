package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.http.CallFailure;

/** A stream went on at an engine of another software version than the one that began it. */
class StreamVersionRunTest extends OnlineRunFixture {
  @Override
  Option<String> versionOf(String engine) {
    return Option.some(engine.equals(SECOND.value()) ? "v1.2" : "v1.1");
  }

  private void breakOffAfterEvents(int attempt, int events) {
    answers
        .get(attempt)
        .onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    for (int i = 1; i <= events; i++) {
      answers.get(attempt).onBytes(event(i));
    }
    answers.get(attempt).onEnd(Option.some(new CallFailure(CallFailure.Kind.LOST, "reset")));
  }

  @Tag("known-red")
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
}
