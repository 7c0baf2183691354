package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.RandomPlay;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.wire.fleet.FleetMessage;

/** Streams under random decisions about slots, answers of engines and times. */
class StreamUnderRandomDecisionsTest {
  private static final int SEEDS = 2000;
  private static final int MAX_STEPS = 60;
  private static final int MAX_ATTEMPTS = 5;

  /** A host on simulated time. */
  private static final class Host extends OnlineRunFixture {
    private final ManualTimer manual;
    private final RandomPlay play;

    Host(long seed) {
      super(ManualTimer::new);
      manual = (ManualTimer) timer;
      play =
          new RandomPlay(
              seed,
              slots,
              recordedSlots,
              (from, m) -> channel.onMessage(from, m.toByteArray()),
              manual,
              List.of(FIRST, SECOND));
      attach();
      createService(FleetFixtures.onlineRoute(RequestKind.STREAM, MAX_ATTEMPTS));
    }

    @Override
    void onMessage(FleetMessage message) {
      if (play != null) {
        play.onSent(message);
      }
    }

    @Override
    StreamCall onRequest(EngineRequest request, EngineListener listener) {
      return play.onRequest(request, listener);
    }
  }

  /** A stream went on in a run that was asked for another position, or was answered twice. */
  @Test
  void streamIsJoinedInSequenceAndEndsOnceWhateverIsDecided() {
    int whole = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      Host host = new Host(seed);
      RandomPlay play = host.play;
      long after = play.random().nextBoolean() ? 0 : play.random().nextInt(4);
      Option<Long> resume = Option.when(after > 0, after);
      OnlineRunFixture.RecordingSink sink = host.serve("s-1", resume, Option.none());
      boolean cancelled = false;
      int steps = play.random().nextInt(MAX_STEPS);
      for (int i = 0; i < steps; i++) {
        if (play.random().nextInt(200) == 0) {
          play.note("cancel");
          cancelled |= sink.outcomes.isEmpty();
          sink.call.cancel();
        } else {
          play.step();
        }
        play.checkSlotsAndRuns();
        play.checkText(sink.text.toString(), after);
        assertThat(sink.outcomes).as(play::trace).hasSizeLessThanOrEqualTo(1);
      }
      for (int i = 0; i < 3; i++) {
        play.driveFairly();
        play.checkSlotsAndRuns();
      }
      host.manual.advance(Duration.ofSeconds(20));
      assertThat(sink.outcomes).as(play::trace).hasSize(cancelled ? 0 : 1);
      long last = play.checkText(sink.text.toString(), after);
      if (!cancelled && sink.outcomes.get(0) instanceof Outcome.Done && last > after) {
        assertThat(last).as(play::trace).isEqualTo(RandomPlay.EVENTS);
        whole++;
      }
      play.checkAllOver();
      host.stop();
    }
    assertThat(whole).as("streams that ended whole").isGreaterThan(SEEDS / 10);
  }
}
