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

/**
 * Crashes or pauses a host at its n-th store call, for every n, while a client retries its
 * requests. Each item must get exactly one result, and an item that may not be repeated must run at
 * most once.
 */
class HostCrashTest {
  private static final int ITEMS = 40;

  @ParameterizedTest
  @CsvSource({
    "true, false, 0", "true, true, 0", "false, false, 0", "false, true, 0",
    "true, false, 3", "true, true, 3", "false, false, 3", "false, true, 3"
  })
  void eachItemHasOneResultIfAHostCrashesAtAnyStoreCall(
      boolean repeatable, boolean crashAfterEffect, int lostResponses) {
    int crashes = 0;
    int repeatedRuns = 0;
    int unknownResults = 0;
    for (int callNumber = 1; callNumber < 400; callNumber++) {
      BatchSimulation simulation = new BatchSimulation(callNumber);
      BatchSimulation.Host a = simulation.host("a", callNumber, crashAfterEffect);
      BatchSimulation.Host b = simulation.host("b");
      simulation.engine.respondsImmediately = lostResponses == 0;
      Job job = createJobDespiteCrash(simulation, a, b, repeatable);
      simulation.store.dropResponses(lostResponses);
      Job ended = simulation.runUntilEnded(b, job.id(), List.of(a, b));
      simulation.history.requireResults(ITEMS);
      assertThat(ended.counts().succeeded() + ended.counts().failed()).isEqualTo(ITEMS);
      if (!repeatable) {
        assertThat(simulation.engine.runs.values())
            .as("runs, crashed at call %d", callNumber)
            .allMatch(r -> r <= 1);
      }
      if (!a.hostStore.isCrashed()) {
        break;
      }
      crashes++;
      repeatedRuns += simulation.engine.repeatedRuns();
      unknownResults += ended.counts().failed();
    }
    assertThat(crashes).isGreaterThan(20);
    System.out.printf(
        "repeatable=%s after=%s lost=%d: %d crashes, %d items run again, %d unknown%n",
        repeatable, crashAfterEffect, lostResponses, crashes, repeatedRuns, unknownResults);
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void eachItemHasOneResultIfAHostIsPausedInAnyStoreCall(boolean repeatable) {
    int pauses = 0;
    for (int callNumber = 1; callNumber < 200; callNumber++) {
      BatchSimulation simulation = new BatchSimulation(callNumber);
      simulation.engine.respondsImmediately = callNumber % 2 == 0;
      BatchSimulation.Host b = simulation.host("b");
      BatchSimulation.Host c = simulation.host("c");
      Job job = simulation.createJob(c, 3 * ITEMS, repeatable);
      boolean[] paused = {false};
      BatchSimulation.Host a = simulation.host("a", callNumber, false);
      a.hostStore.pauseInsteadOfCrashing(
          () -> {
            paused[0] = true;
            simulation.advance(Duration.ofSeconds(121));
            int rounds = 1 + simulation.random.nextInt(30);
            for (int i = 0; i < rounds; i++) {
              b.step();
              simulation.engine.completeRunning(simulation.random.nextInt(9));
              simulation.advance(Duration.ofSeconds(5));
              simulation.checkResults(c, job);
            }
          });
      while (!paused[0] && a.step() && !c.jobs.find(job.id()).get().job().state().isFinal()) {
        simulation.engine.completeRunning(9);
        simulation.advance(Duration.ofSeconds(1));
      }
      a.step();
      b.hostStore.crash();
      simulation.runUntilEnded(c, job.id(), List.of(a, c));
      simulation.history.requireResults(3 * ITEMS);
      if (!repeatable) {
        assertThat(simulation.engine.runs.values())
            .as("runs, paused at call %d", callNumber)
            .allMatch(r -> r <= 1);
      }
      if (!paused[0]) {
        break;
      }
      pauses++;
    }
    assertThat(pauses).isGreaterThan(15);
  }

  /**
   * Uploads a file and creates a job on host {@code a}. If the host crashes, the client repeats the
   * request on host {@code b}.
   */
  private Job createJobDespiteCrash(
      BatchSimulation simulation,
      BatchSimulation.Host a,
      BatchSimulation.Host b,
      boolean repeatable) {
    BatchFile file = null;
    Job acknowledged = null;
    try {
      file = a.upload(BatchSimulation.inputLines(0, ITEMS)).get();
      acknowledged = a.jobs.create(BatchSimulation.newJob(file, repeatable)).get();
    } catch (HostCrash e) {
      assertThat(a.hostStore.isCrashed()).isTrue();
    }
    BatchFile stored = file != null ? file : b.upload(BatchSimulation.inputLines(0, ITEMS)).get();
    Either<Outcome, Job> second = b.jobs.create(BatchSimulation.newJob(stored, repeatable));
    if (acknowledged != null) {
      assertThat(second.get()).isEqualTo(acknowledged);
    }
    assertThat(b.jobs.list(BatchSimulation.ORGANISATION).get()).hasSize(1);
    return second.get();
  }

  @ParameterizedTest
  @CsvSource({"false, 0", "true, 0", "false, 2", "true, 2"})
  void cancelledJobStopsIfTheCancellingHostCrashesAtAnyStoreCall(
      boolean crashAfterEffect, int lostResponses) {
    int crashes = 0;
    for (int callNumber = 1; callNumber < 200; callNumber++) {
      BatchSimulation simulation = new BatchSimulation(callNumber);
      simulation.engine.respondsImmediately = false;
      BatchSimulation.Host runner = simulation.host("runner");
      BatchSimulation.Host canceller = simulation.host("canceller", callNumber, crashAfterEffect);
      Job job = simulation.createJob(runner, ITEMS, true);
      runner.step();
      simulation.engine.completeRunning(12);
      runner.step();
      simulation.store.dropResponses(lostResponses);
      cancelDespiteCrash(runner, canceller, job);
      Job ended = simulation.runUntilEnded(runner, job.id(), List.of(runner, canceller));
      int started = simulation.engine.startedItems;
      for (int i = 0; i < 20; i++) {
        simulation.advance(Duration.ofSeconds(30));
        runner.step();
        canceller.step();
      }
      assertThat(ended.state()).isEqualTo(JobState.CANCELLED);
      assertThat(simulation.engine.startedItems)
          .as("starts after the cancellation")
          .isEqualTo(started);
      assertThat(simulation.engine.running).isEmpty();
      simulation.checkResults(runner, ended);
      assertThat(ended.counts().succeeded()).isEqualTo(simulation.history.size());
      if (!canceller.hostStore.isCrashed()) {
        break;
      }
      crashes++;
    }
    assertThat(crashes).isPositive();
  }

  private static void cancelDespiteCrash(
      BatchSimulation.Host runner, BatchSimulation.Host canceller, Job job) {
    try {
      assertThat(canceller.jobs.cancel(job.id()).get().state()).isNotEqualTo(JobState.IN_PROGRESS);
    } catch (HostCrash e) {
      runner.jobs.cancel(job.id());
    }
  }
}
