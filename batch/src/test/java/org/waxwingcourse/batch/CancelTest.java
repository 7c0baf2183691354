package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.standin.store.StoreFaults;

/** A cancelled job stops, whoever holds its chunks and whatever they have heard. */
class CancelTest {
  private final World world = new World(6);

  @ParameterizedTest
  @ValueSource(strings = {"lag", "silent", "outage"})
  void noItemStartsAfterTheCancelWasAnsweredThoughTheWatchLags(String fault) {
    world.engine.answersAtOnce = false;
    world.engine.cancelsLate = true;
    World.Host a = world.host("a");
    World.Host b = world.host("b");
    Job job = world.accepted(b, 80, true);
    a.step();
    world.engine.answerWaiting(3);
    StoreFaults watch = StoreFaults.NONE.withWatchLag(Duration.ofSeconds(40));
    world.store.setFaults("silent".equals(fault) ? watch.withWatchSilent(true) : watch);
    assertThat(b.jobs.cancel(job.id()).get().state()).isEqualTo(JobState.CANCELLING);
    if ("outage".equals(fault)) {
      world.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
      world.advance(Duration.ofSeconds(100));
      a.step();
      world.store.setFaults(StoreFaults.NONE);
    }
    int startedAtAnswer = -1;
    for (int i = 0; i < 400 && startedAtAnswer < 0; i++) {
      a.step();
      world.engine.answerWaiting(1);
      world.advance(Duration.ofSeconds(2));
      if (b.jobs.cancel(job.id()).get().state() == JobState.CANCELLED) {
        startedAtAnswer = world.engine.started;
        if (!"outage".equals(fault)) {
          assertThat(world.engine.running).as("still running at the engine").isEmpty();
        }
      }
    }
    for (int i = 0; i < 100; i++) {
      a.step();
      world.engine.answerWaiting(2);
      world.advance(Duration.ofSeconds(2));
    }
    assertThat(world.engine.started).isEqualTo(startedAtAnswer).isLessThan(80);
    assertThat(world.engine.running).isEmpty();
  }

  @Test
  void cancelEndsWhatRunsAtTheEngineAtOnce() {
    world.engine.answersAtOnce = false;
    World.Host a = world.host("a");
    Job job = world.accepted(a, 40, true);
    a.step();
    assertThat(world.engine.running).hasSize(8);
    world.host("b").jobs.cancel(job.id());
    assertThat(world.engine.running).isEmpty();
    assertThat(world.engine.cancelled).isEqualTo(8);
    a.step();
    assertThat(a.jobs.cancel(job.id()).get().state()).isEqualTo(JobState.CANCELLED);
  }

  @Test
  void claimWhoseAnswerWasLostIsNotRunAfterTheCancel() {
    World.Host a = world.host("a");
    Job job = world.accepted(a, 8, true);
    StoreFaults outage = StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING);
    world.store.loseAnswers(4);
    a.way.pausingFor(9, () -> world.store.setFaults(outage));
    a.step();
    assertThat(world.engine.started).isZero();
    world.store.setFaults(StoreFaults.NONE);
    Job cancelling = world.host("b").jobs.cancel(job.id()).get();
    assertThat(cancelling.state()).isEqualTo(JobState.CANCELLING);
    assertThat(world.finish(a, job.id(), List.of(a)).state()).isEqualTo(JobState.CANCELLED);
    assertThat(world.engine.started).isZero();
  }

  @Test
  void hostWithAnOldViewClaimsNothingOfACancelledJob() {
    World.Host a = world.host("a");
    a.step();
    Job job = world.accepted(world.host("b"), 40, true);
    world.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
    Job cancelled = world.host("b").jobs.cancel(job.id()).get();
    assertThat(cancelled.state()).isEqualTo(JobState.CANCELLED);
    a.step();
    assertThat(world.engine.started).isZero();
  }

  @Test
  void lateCommitLosesToTheCancel() {
    world.engine.answersAtOnce = false;
    World.Host a = world.host("a");
    Job job = world.accepted(a, 40, true);
    a.step();
    world.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
    world.host("b").jobs.cancel(job.id());
    world.engine.answerWaiting(50);
    a.step();
    world.observe(a, job);
    assertThat(world.history.size()).as("results that came after the cancel").isZero();
  }
}
