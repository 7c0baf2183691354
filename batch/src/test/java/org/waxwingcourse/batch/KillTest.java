package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.model.request.Outcome;

/** A host dies at its n-th call to the store, for every n, while a client waits and sends again. */
class KillTest {
  private static final int ITEMS = 40;

  @ParameterizedTest
  @CsvSource({
    "true, false, 0", "true, true, 0", "false, false, 0", "false, true, 0",
    "true, false, 3", "true, true, 3", "false, false, 3", "false, true, 3"
  })
  void eachItemHasOneResultWhereverTheHostDies(boolean repeatable, boolean after, int lostAnswers) {
    int kills = 0;
    int again = 0;
    int unknown = 0;
    for (int n = 1; n < 400; n++) {
      World world = new World(n);
      World.Host a = world.host("a", n, after);
      World.Host b = world.host("b");
      world.engine.answersAtOnce = lostAnswers == 0;
      Job job = acceptedDespiteKill(world, a, b, repeatable);
      world.store.loseAnswers(lostAnswers);
      Job ended = world.finish(b, job.id(), List.of(a, b));
      world.history.complete(ITEMS);
      assertThat(ended.counts().succeeded() + ended.counts().failed()).isEqualTo(ITEMS);
      if (!repeatable) {
        assertThat(world.engine.runs.values()).as("runs, killed at %d", n).allMatch(r -> r <= 1);
      }
      if (!a.way.isDead()) {
        break;
      }
      kills++;
      again += world.engine.runsAgain();
      unknown += ended.counts().failed();
    }
    assertThat(kills).isGreaterThan(20);
    System.out.printf(
        "repeatable=%s after=%s lost=%d: %d kills, %d items run again, %d unknown%n",
        repeatable, after, lostAnswers, kills, again, unknown);
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void eachItemHasOneResultWhereverTheHostIsPausedInACall(boolean repeatable) {
    int pauses = 0;
    for (int n = 1; n < 200; n++) {
      World world = new World(n);
      world.engine.answersAtOnce = n % 2 == 0;
      World.Host b = world.host("b");
      World.Host c = world.host("c");
      Job job = world.accepted(c, 3 * ITEMS, repeatable);
      boolean[] paused = {false};
      World.Host a = world.host("a", n, false);
      a.way.pausingFor(
          () -> {
            paused[0] = true;
            world.advance(Duration.ofSeconds(121));
            int rounds = 1 + world.random.nextInt(30);
            for (int i = 0; i < rounds; i++) {
              b.step();
              world.engine.answerWaiting(world.random.nextInt(9));
              world.advance(Duration.ofSeconds(5));
              world.observe(c, job);
            }
          });
      while (!paused[0] && a.step() && !c.jobs.find(job.id()).get().job().state().ended()) {
        world.engine.answerWaiting(9);
        world.advance(Duration.ofSeconds(1));
      }
      a.step();
      b.way.kill();
      world.finish(c, job.id(), List.of(a, c));
      world.history.complete(3 * ITEMS);
      if (!repeatable) {
        assertThat(world.engine.runs.values()).as("runs, paused at %d", n).allMatch(r -> r <= 1);
      }
      if (!paused[0]) {
        break;
      }
      pauses++;
    }
    assertThat(pauses).isGreaterThan(15);
  }

  /** The client sends again to the other host whenever it got no answer. */
  private Job acceptedDespiteKill(World world, World.Host a, World.Host b, boolean repeatable) {
    BatchFile file = null;
    Job acknowledged = null;
    try {
      file = a.upload(World.lines(0, ITEMS)).get();
      acknowledged = a.jobs.create(World.newJob(file, repeatable)).get();
    } catch (HostKilled e) {
      assertThat(a.way.isDead()).isTrue();
    }
    BatchFile stored = file != null ? file : b.upload(World.lines(0, ITEMS)).get();
    Either<Outcome, Job> second = b.jobs.create(World.newJob(stored, repeatable));
    if (acknowledged != null) {
      assertThat(second.get()).isEqualTo(acknowledged);
    }
    assertThat(b.jobs.list(World.ORGANISATION).get()).hasSize(1);
    return second.get();
  }

  @ParameterizedTest
  @CsvSource({"false, 0", "true, 0", "false, 2", "true, 2"})
  void cancelledJobStopsWhereverTheHostDies(boolean after, int lostAnswers) {
    int kills = 0;
    for (int n = 1; n < 200; n++) {
      World world = new World(n);
      world.engine.answersAtOnce = false;
      World.Host runner = world.host("runner");
      World.Host canceller = world.host("canceller", n, after);
      Job job = world.accepted(runner, ITEMS, true);
      runner.step();
      world.engine.answerWaiting(12);
      runner.step();
      world.store.loseAnswers(lostAnswers);
      cancelDespiteKill(runner, canceller, job);
      Job ended = world.finish(runner, job.id(), List.of(runner, canceller));
      int started = world.engine.started;
      for (int i = 0; i < 20; i++) {
        world.advance(Duration.ofSeconds(30));
        runner.step();
        canceller.step();
      }
      assertThat(ended.state()).isEqualTo(JobState.CANCELLED);
      assertThat(world.engine.started).as("starts after the cancel").isEqualTo(started);
      assertThat(world.engine.running).isEmpty();
      world.observe(runner, ended);
      assertThat(ended.counts().succeeded()).isEqualTo(world.history.size());
      if (!canceller.way.isDead()) {
        break;
      }
      kills++;
    }
    assertThat(kills).isPositive();
  }

  private static void cancelDespiteKill(World.Host runner, World.Host canceller, Job job) {
    try {
      assertThat(canceller.jobs.cancel(job.id()).get().state()).isNotEqualTo(JobState.IN_PROGRESS);
    } catch (HostKilled e) {
      runner.jobs.cancel(job.id());
    }
  }
}
