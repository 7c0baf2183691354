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

/**
 * Tests that a cancelled job stops even if the hosts that hold its chunks have not received the
 * cancellation.
 */
class CancelTest {
  private final BatchSimulation simulation = new BatchSimulation(6);

  @ParameterizedTest
  @ValueSource(strings = {"lag", "silent", "outage"})
  void noItemStartsAfterTheJobIsCancelledWhileTheWatchLags(String fault) {
    simulation.engine.respondsImmediately = false;
    simulation.engine.ignoresCancellation = true;
    BatchSimulation.Host a = simulation.host("a");
    BatchSimulation.Host b = simulation.host("b");
    Job job = simulation.createJob(b, 80, true);
    a.step();
    simulation.engine.completeRunning(3);
    StoreFaults watch = StoreFaults.NONE.withWatchLag(Duration.ofSeconds(40));
    simulation.store.setFaults("silent".equals(fault) ? watch.withWatchSilent(true) : watch);
    assertThat(b.jobs.cancel(job.id()).get().state()).isEqualTo(JobState.CANCELLING);
    if ("outage".equals(fault)) {
      simulation.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
      simulation.advance(Duration.ofSeconds(100));
      a.step();
      simulation.store.setFaults(StoreFaults.NONE);
    }
    int startedAtCancellation = -1;
    for (int i = 0; i < 400 && startedAtCancellation < 0; i++) {
      a.step();
      simulation.engine.completeRunning(1);
      simulation.advance(Duration.ofSeconds(2));
      if (b.jobs.cancel(job.id()).get().state() == JobState.CANCELLED) {
        startedAtCancellation = simulation.engine.startedItems;
        if (!"outage".equals(fault)) {
          assertThat(simulation.engine.running).as("still running at the engine").isEmpty();
        }
      }
    }
    for (int i = 0; i < 100; i++) {
      a.step();
      simulation.engine.completeRunning(2);
      simulation.advance(Duration.ofSeconds(2));
    }
    assertThat(simulation.engine.startedItems).isEqualTo(startedAtCancellation).isLessThan(80);
    assertThat(simulation.engine.running).isEmpty();
  }

  @Test
  void cancellationStopsRunningItemsImmediately() {
    simulation.engine.respondsImmediately = false;
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 40, true);
    a.step();
    assertThat(simulation.engine.running).hasSize(8);
    simulation.host("b").jobs.cancel(job.id());
    assertThat(simulation.engine.running).isEmpty();
    assertThat(simulation.engine.cancelledItems).isEqualTo(8);
    a.step();
    assertThat(a.jobs.cancel(job.id()).get().state()).isEqualTo(JobState.CANCELLED);
  }

  @Test
  void claimWithLostResponseIsNotRunAfterCancellation() {
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 8, true);
    StoreFaults outage = StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING);
    simulation.store.dropResponses(4);
    a.hostStore.pauseInsteadOfCrashing(9, () -> simulation.store.setFaults(outage));
    a.step();
    assertThat(simulation.engine.startedItems).isZero();
    simulation.store.setFaults(StoreFaults.NONE);
    Job cancelling = simulation.host("b").jobs.cancel(job.id()).get();
    assertThat(cancelling.state()).isEqualTo(JobState.CANCELLING);
    assertThat(simulation.runUntilEnded(a, job.id(), List.of(a)).state())
        .isEqualTo(JobState.CANCELLED);
    assertThat(simulation.engine.startedItems).isZero();
  }

  @Test
  void hostWithStaleViewClaimsNoChunkOfACancelledJob() {
    BatchSimulation.Host a = simulation.host("a");
    a.step();
    Job job = simulation.createJob(simulation.host("b"), 40, true);
    simulation.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
    Job cancelled = simulation.host("b").jobs.cancel(job.id()).get();
    assertThat(cancelled.state()).isEqualTo(JobState.CANCELLED);
    a.step();
    assertThat(simulation.engine.startedItems).isZero();
  }

  @Test
  void commitAfterCancellationIsRejected() {
    simulation.engine.respondsImmediately = false;
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 40, true);
    a.step();
    simulation.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
    simulation.host("b").jobs.cancel(job.id());
    simulation.engine.completeRunning(50);
    a.step();
    simulation.checkResults(a, job);
    assertThat(simulation.history.size()).as("results committed after the cancellation").isZero();
  }
}
