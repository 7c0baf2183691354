package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.RandomPlay;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.wire.fleet.JobResult;

/** Items under random decisions about slots, answers of engines and times. */
class ItemUnderRandomDecisionsTest {
  private static final int SEEDS = 1000;
  private static final int MAX_STEPS = 60;

  /** Many enough that no item fails for an engine's errors. */
  private static final int MAX_ATTEMPTS = 1000;

  private static RandomPlay begin(RunnerFixture fixture, long seed) {
    RandomPlay play =
        new RandomPlay(
            seed,
            fixture.slots,
            fixture.recordedSlots,
            fixture::receive,
            fixture.timer,
            List.of(UpstreamId.of("e1")));
    fixture.onSent = play::onSent;
    fixture.onRequest = play::onRequest;
    fixture.maxAttempts = MAX_ATTEMPTS;
    fixture.runJob(1);
    return play;
  }

  /**
   * Takes random steps, with reads of the store that are answered late. Each is answered in the
   * end, as the store's client does or fails them.
   */
  private static void play(RunnerFixture fixture, RandomPlay play) {
    int steps = play.random().nextInt(MAX_STEPS);
    boolean held = false;
    for (int i = 0; i < steps; i++) {
      if (!held && play.random().nextInt(15) == 0) {
        held = true;
        play.note("hold reads");
        fixture.store.holdReads();
      } else if (held && play.random().nextInt(10) == 0) {
        held = false;
        play.note("answer reads");
        fixture.store.answerReads();
      } else {
        play.step();
      }
      play.checkSlotsAndRuns();
    }
    fixture.store.answerReads();
  }

  private static List<String> results(RunnerFixture fixture) {
    return fixture.stored().stream().map(JobResult::getText).toList();
  }

  /** Two runs of one item fed one text, or a slot was held after its item had gone on. */
  @Test
  void itemHasOneRunAndOneWholeTextWhateverIsDecided() {
    for (long seed = 0; seed < SEEDS; seed++) {
      RunnerFixture fixture = new RunnerFixture();
      RandomPlay play = begin(fixture, seed);
      play(fixture, play);
      for (int i = 0; i < 150 && results(fixture).isEmpty(); i++) {
        play.driveFairly();
        play.checkSlotsAndRuns();
      }
      assertThat(results(fixture)).as(play::trace).hasSize(1);
      long last = play.checkText(results(fixture).get(0), 0);
      assertThat(last).as(play::trace).isEqualTo(RandomPlay.EVENTS);
      play.checkAllOver();
      fixture.stop();
    }
  }

  /** A slot that was granted as its job was closed stayed held. */
  @Test
  void itemOfAClosedJobHoldsNoSlot() {
    for (long seed = 0; seed < SEEDS; seed++) {
      RunnerFixture fixture = new RunnerFixture();
      RandomPlay play = begin(fixture, seed);
      play(fixture, play);
      play.note("close");
      fixture.closeInStore();
      fixture.runner.stopClosed(RunnerFixture.JOB);
      fixture.timer.advance(Duration.ofSeconds(20));
      play.checkSlotsAndRuns();
      play.checkAllOver();
      fixture.stop();
    }
  }
}
