package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.wire.fleet.JobResult;

/** Commits of results that the store does not answer and executes after later ones. */
class LateCommitTest {
  private static final int ITEMS = 4;

  /** Longer than a finished item waits for others, shorter than until a commit is tried again. */
  private static final Duration COMMIT_TIME = Duration.ofMillis(200);

  private static final Duration ALL_RETRIES = Duration.ofSeconds(2);

  private final RunnerFixture fixture = new RunnerFixture();
  private final ManualTimer timer = fixture.timer;
  private final FaultyStore store = fixture.store;
  private final JobRunner runner = fixture.runner;

  @BeforeEach
  void runJob() {
    fixture.runJob(ITEMS);
    fixture.grantAll();
  }

  @AfterEach
  void stop() {
    fixture.stop();
  }

  private void finish(int item) {
    fixture.finish(item, "text " + item);
  }

  private List<String> storedItems() {
    return fixture.stored().stream().map(JobResult::getItem).toList();
  }

  private List<String> shownItems() {
    return job().page(0).results().stream().map(JobResult::getItem).toList();
  }

  private RunningJob job() {
    return runner.findJob(RunnerFixture.JOB).get();
  }

  private boolean hasRunnerEntry() {
    KeyRange entry = KeyRange.ofKey(StoreKeys.runnerKey(RunnerFixture.JOB));
    return fixture.memory.readDirectly(entry).firstEntry().isPresent();
  }

  private static List<String> items(int... indexes) {
    return IntStream.of(indexes).mapToObj(i -> "item-" + i).toList();
  }

  /** The results of the late commit were appended once more, and later positions changed. */
  @Test
  void resultsStandOnceThoughTheirCommitIsExecutedLate() {
    store.failWrites(FaultyStore.WriteFault.LATE);
    finish(0);
    timer.advance(COMMIT_TIME);
    finish(1);
    store.executeLateWrites();
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1));
    assertThat(shownItems()).containsExactlyElementsOf(items(0, 1));
    finish(2);
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1, 2));
    assertThat(hasRunnerEntry()).as("entry of an unfinished job").isTrue();
    finish(3);
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1, 2, 3));
    assertThat(runner.countRunning()).isZero();
    assertThat(hasRunnerEntry()).as("entry of a finished job").isFalse();
  }

  /** Only one of two commits under the same condition is executed, whichever comes first. */
  @Test
  void resultsStandOnceThoughTwoCommitsAreExecutedLate() {
    store.failWrites(FaultyStore.WriteFault.LATE);
    finish(0);
    timer.advance(COMMIT_TIME);
    finish(1);
    store.failWrites(FaultyStore.WriteFault.LATE);
    timer.advance(Duration.ofMillis(500));
    finish(2);
    store.executeLateWrites();
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1, 2));
    assertThat(shownItems()).containsExactlyElementsOf(items(0, 1, 2));
  }

  /** The texts at a position stay those that the store holds, not those of a second run. */
  @Test
  void resultOfAnEarlierRunInThisProcessStays() {
    store.failWrites(FaultyStore.WriteFault.LATE);
    fixture.finish(0, "first");
    timer.advance(COMMIT_TIME);
    job().stop("taken over in between");
    timer.advance(Duration.ZERO);
    fixture.resumeJob();
    fixture.grantAll();
    store.executeLateWrites();
    fixture.finish(0, "second");
    finish(1);
    timer.advance(ALL_RETRIES);
    assertThat(storedItems()).containsExactlyElementsOf(items(0, 1));
    assertThat(job().page(0).results().get(0).getText()).isEqualTo("first");
  }
}
