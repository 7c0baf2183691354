package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotRefusal;

/** An engine falls silent in the middle of a stream, and no other has a free slot at once. */
class BegunStreamWithoutSlotTest extends OnlineRunFixture {
  /** Longer than the route's engines are silent; the time limit is 15 s. */
  private static final Duration SILENCE = Duration.ofMillis(4100);

  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private RecordingSink sink;

  BegunStreamWithoutSlotTest() {
    super(ManualTimer::new);
  }

  @BeforeEach
  void serveUntilTheEngineIsSilent() throws InterruptedException {
    createService(RequestKind.STREAM);
    sink = serve("r");
    grant(nextAsk(), FIRST);
    answers.get(0).onHead(head(200, EngineAnswer.Verdict.RUN));
    answers.get(0).onBytes(event(1));
    advance(SILENCE);
  }

  private void advance(Duration span) {
    ((ManualTimer) timer).advance(span);
  }

  private void refuse(SlotAsk ask) {
    SlotRefusal.Builder refusal =
        SlotRefusal.newBuilder()
            .setNumber(ask.getNumber())
            .setRetryAfterNanos(RETRY_AFTER.toNanos());
    channel.onMessage(
        COORDINATOR, FleetMessage.newBuilder().setRefusal(refusal).build().toByteArray());
  }

  /** The stream was cut, though a slot became free within its time limit. */
  @Test
  void streamGoesOnOnceASlotIsFree() throws InterruptedException {
    refuse(nextAsk());
    assertThat(sink.outcomes).isEmpty();
    advance(RETRY_AFTER);
    grant(nextAsk(), SECOND);
    answers.get(1).onHead(head(200, EngineAnswer.Verdict.RUN));
    answers.get(1).onBytes(event(2));
    answers.get(1).onEnd(Option.none());
    String text =
        new String(event(1), StandardCharsets.UTF_8) + new String(event(2), StandardCharsets.UTF_8);
    assertThat(sink.text).hasToString(text);
    assertThat(sink.outcomes).containsExactly(new Outcome.Done());
  }

  /** The request counted as too late 6 s after its arrival, and was refused unless one was free. */
  @Test
  void slotMayBecomeFreeUntilTheTimeLimit() throws InterruptedException {
    // The silence was noticed up to 100 ms ago.
    Duration left = Duration.ofSeconds(15).minus(SILENCE);
    assertThat(Duration.ofNanos(nextAsk().getStartWithinNanos()))
        .isBetween(left, left.plusMillis(100));
  }

  @Test
  void streamEndsAtItsTimeLimitIfNoSlotBecomesFree() throws InterruptedException {
    SlotAsk ask = nextAsk();
    for (int i = 0; i < 12; i++) {
      refuse(ask);
      advance(RETRY_AFTER);
      ask = nextAsk();
    }
    assertThat(sink.outcomes).isEmpty();
    advance(Duration.ofSeconds(15));
    assertThat(sink.outcomes).hasSize(1);
    assertThat(sink.outcomes.get(0)).isNotInstanceOf(Outcome.Done.class);
  }

  /** It was held until its time limit although nothing could go on with it. */
  @Test
  void streamThatNoListedEngineMayGoOnWithEndsAtOnce() throws InterruptedException {
    SlotRefusal.Builder refusal =
        SlotRefusal.newBuilder().setNumber(nextAsk().getNumber()).setUnavailable(true);
    channel.onMessage(
        COORDINATOR, FleetMessage.newBuilder().setRefusal(refusal).build().toByteArray());
    assertThat(sink.outcomes).hasSize(1).first().isInstanceOf(Outcome.Unknown.class);
  }
}
