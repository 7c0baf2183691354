package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.wire.fleet.SlotAsk;

/** Tests what a host does with a request under which engines end. */
class CrashingRequestRunTest extends OnlineRunFixture {
  private static final RequestFingerprint REQUEST = RequestFingerprint.of("", "/q/x", new byte[0]);

  private void recordCrashElsewhere(long n) {
    EngineBoot engine = new EngineBoot(UpstreamId.of("elsewhere"), n);
    crashingRequests.recordCrash(REQUEST, engine, clock.instant());
  }

  private void breakOff(int attempt) {
    answers.get(attempt).onEnd(Option.some(new CallFailure(CallFailure.Kind.LOST, "reset")));
  }

  private int countCrashes() {
    return crashingRequests.withCrashes(1).stream().mapToInt(r -> r.crashes()).sum();
  }

  @Test
  void engineThatClosesTheConnectionCountsHereAndAtTheCoordinator() throws InterruptedException {
    createService(RequestKind.IDEMPOTENT);
    serve("r");
    SlotAsk ask = nextAsk();
    assertThat(ask.hasFingerprint()).isTrue();
    grant(ask, FIRST);
    breakOff(0);
    nextAsk();
    assertThat(countCrashes()).isEqualTo(1);
    long boot = engines.findEngine(FIRST).get().boot().hash();
    synchronized (sent) {
      assertThat(sent)
          .anyMatch(m -> m.getEnd().hasFingerprint() && m.getEnd().getEngineBoot() == boot);
    }
  }

  @Test
  void streamThatBreaksOffAfterEventsCountsToo() throws InterruptedException {
    createService(RequestKind.STREAM);
    serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    answers.get(0).onBytes(event(1));
    breakOff(0);
    assertThat(countCrashes()).isEqualTo(1);
  }

  @Test
  void refusalByAFullEngineSaysNothing() throws InterruptedException {
    createService(RequestKind.IDEMPOTENT);
    recordCrashElsewhere(1);
    serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(head(503, EngineAnswer.Verdict.FULL));
    assertThat(countCrashes()).isEqualTo(1);
  }

  @Test
  void wholeAnswerClearsTheRequest() throws InterruptedException {
    createService(RequestKind.IDEMPOTENT);
    recordCrashElsewhere(1);
    serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(head(200, EngineAnswer.Verdict.RUN));
    assertThat(countCrashes()).as("after the head").isEqualTo(1);
    answers.get(0).onEnd(Option.none());
    assertThat(countCrashes()).isZero();
  }

  @Test
  void requestIsRefusedAtOnceAfterTheVerdict() {
    createService(RequestKind.IDEMPOTENT);
    for (int i = 0; i < 3; i++) {
      recordCrashElsewhere(i);
    }
    RecordingSink sink = serve("r");
    assertThat(asks).isEmpty();
    assertThat(sink.outcomes).hasSize(1);
    Outcome.Refused refused = (Outcome.Refused) sink.outcomes.get(0);
    assertThat(refused.refusal().code()).isEqualTo(RefusalCode.QUARANTINED);
    assertThat(refused.refusal().retryAt()).isAfter(clock.instant());
  }

  /** The third crash is that of its own first attempt, so "not run" would be untrue. */
  @Test
  void requestThatHasRunIsNotSaidNotToHaveRun() throws InterruptedException {
    createService(RequestKind.IDEMPOTENT);
    recordCrashElsewhere(1);
    recordCrashElsewhere(2);
    RecordingSink sink = serve("r");
    grant(nextAsk(), FIRST);
    breakOff(0);
    assertThat(asks).isEmpty();
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Unknown.class);
  }
}
