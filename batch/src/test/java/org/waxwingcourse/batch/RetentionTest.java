package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;

/** Tests that expired files and jobs are deleted, and that the input of a live job is kept. */
class RetentionTest {
  private final BatchSimulation simulation = new BatchSimulation(9);

  private List<String> keysContaining(String part) {
    return simulation.store.readDirectly(KeyRange.ofPrefix("/waxwing/batch/")).entries().stream()
        .map(Entry::key)
        .filter(k -> k.contains(part))
        .toList();
  }

  private void runDays(BatchSimulation.Host host, int days) {
    for (int i = 0; i < days * 48; i++) {
      simulation.advance(Duration.ofMinutes(30));
      host.step();
    }
  }

  @Test
  void allDataOfAnEndedJobIsDeletedAfterItsRetentionDeadline() {
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 40, true);
    simulation.runUntilEnded(a, job.id(), List.of(a));
    runDays(a, 29);
    simulation.checkResults(a, job);
    simulation.history.requireResults(40);
    runDays(a, 10);
    assertThat(keysContaining(job.id().value())).isEmpty();
    assertThat(keysContaining("/files/")).isEmpty();
    assertThat(keysContaining("/expiry/")).isEmpty();
  }

  @Test
  void abandonedUploadIsDeletedAfterItsRetentionDeadline() {
    BatchSimulation.Host crashing = simulation.host("crashing", 5, false);
    try {
      crashing.upload(BatchSimulation.inputLines(0, 80));
    } catch (HostCrash e) {
      assertThat(keysContaining("/files/")).isNotEmpty();
    }
    runDays(simulation.host("a"), 4);
    assertThat(keysContaining("/files/")).isEmpty();
    assertThat(keysContaining("/expiry/")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 40, 80})
  void inputOfALiveJobIsKeptRegardlessOfItsAge(int window) {
    BatchSimulation.Host a = simulation.host("a");
    BatchFile file = a.upload(BatchSimulation.inputLines(0, 40)).get();
    runDays(a, 29);
    simulation.engine.outcomes =
        item ->
            new Outcome.Refused(
                new Refusal(
                    RefusalCode.OVERLOADED,
                    "full",
                    simulation.clock.instant().plus(Duration.ofHours(6))));
    Job job =
        a.jobs.create(BatchSimulation.newJob(file, true, window + "d", Optional.empty())).get();
    runDays(a, window / 2 + 1);
    simulation.engine.outcomes = item -> new Outcome.Done();
    Job ended = simulation.runUntilEnded(a, job.id(), List.of(a));
    simulation.history.requireResults(40);
    assertThat(ended.counts().succeeded() + ended.counts().failed()).isEqualTo(40);
    runDays(a, 25);
    simulation.checkResults(a, job);
    simulation.history.requireResults(40);
    assertThat(a.results.readInput(file.id(), file.input(), 0).get())
        .hasSize(BatchSimulation.CHUNK_ITEMS);
    assertThat(a.jobs.findFile(BatchSimulation.ORGANISATION, file.id()).isRight()).isTrue();
  }
}
