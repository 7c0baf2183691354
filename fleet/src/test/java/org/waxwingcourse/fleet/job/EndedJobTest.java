package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.standin.store.StoreFaults;

/** A job that its caller has ended, of which its runner is told nothing. */
class EndedJobTest {
  private static final int ITEMS = 4;

  /** Time within which the items of an ended job must stop reaching engines. */
  private static final Duration CANCEL_LIMIT = Duration.ofSeconds(3);

  private final RunnerFixture fixture = new RunnerFixture();

  @AfterEach
  void stop() {
    fixture.stop();
  }

  private long reads() {
    return fixture.memory.counts().reads();
  }

  /** The host that had ended the job was lost, and the items ran as slots became free. */
  @Test
  void noItemReachesAnEngineThoughTheHostThatEndedTheJobIsLost() {
    fixture.runJob(ITEMS);
    fixture.timer.advance(Duration.ofSeconds(1));
    fixture.closeInStore();
    fixture.timer.advance(CANCEL_LIMIT);
    List<Long> granted = fixture.grantAll();
    assertThat(fixture.runs).isEmpty();
    assertThat(granted).hasSize(ITEMS);
    assertThat(fixture.unusedSlots).containsExactlyInAnyOrderElementsOf(granted);
    assertThat(fixture.runner.countRunning()).isZero();
  }

  /** The item that lost its engine was sent to the next one, however old the record was. */
  @Test
  void noItemReachesASecondEngineAfterTheJobHasEnded() {
    fixture.runJob(1);
    fixture.grantAll();
    fixture.closeInStore();
    fixture.timer.advance(CANCEL_LIMIT);
    fixture.runs.clear();
    fixture.grantAll();
    assertThat(fixture.runs).isEmpty();
  }

  @Test
  void itemRunsThoughTheStoreDoesNotTellWhetherTheJobIsOpen() {
    fixture.runJob(ITEMS);
    fixture.timer.advance(CANCEL_LIMIT);
    fixture.memory.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    fixture.grantAll();
    assertThat(fixture.runs).hasSize(ITEMS);
  }

  @Test
  void recordIsReadOnceForManyItems() {
    fixture.runJob(ITEMS);
    fixture.timer.advance(CANCEL_LIMIT);
    long before = reads();
    fixture.store.holdReads();
    fixture.grantAll();
    assertThat(fixture.runs).isEmpty();
    fixture.store.answerReads();
    assertThat(fixture.runs).hasSize(ITEMS);
    assertThat(reads() - before).isOne();
  }

  @Test
  void recordIsNotReadWhileACommitShowsThatTheJobIsOpen() {
    fixture.runJob(2);
    fixture.timer.advance(CANCEL_LIMIT);
    fixture.grantAll();
    fixture.timer.advance(Duration.ofMillis(800));
    fixture.finish(0, "text");
    fixture.timer.advance(Duration.ofMillis(1200));
    fixture.runs.clear();
    long before = reads();
    fixture.grantAll();
    assertThat(fixture.runs).containsOnlyKeys("item-1");
    assertThat(reads()).isEqualTo(before);
  }

  @Test
  void slotIsFreedIfTheJobStopsWhileItsRecordIsRead() {
    fixture.runJob(1);
    fixture.timer.advance(CANCEL_LIMIT);
    fixture.store.holdReads();
    List<Long> granted = fixture.grantAll();
    fixture.runner.stopClosed(RunnerFixture.JOB);
    assertThat(fixture.unusedSlots).isEqualTo(granted);
    fixture.store.answerReads();
    assertThat(fixture.runs).isEmpty();
  }

  @Test
  void itemAsksAgainIfItsSlotIsPreemptedWhileTheRecordIsRead() {
    fixture.runJob(1);
    fixture.timer.advance(CANCEL_LIMIT);
    fixture.store.holdReads();
    fixture.preempt(fixture.grantAll().get(0));
    fixture.store.answerReads();
    assertThat(fixture.runs).isEmpty();
    assertThat(fixture.grantAll()).hasSize(1);
    assertThat(fixture.runs).hasSize(1);
  }

  /** The job was stopped between its entry among the running jobs and its start, then started. */
  @Test
  void noItemIsSentIfTheJobIsStoppedJustBeforeItStarts() {
    fixture.onStarted = () -> fixture.runner.stopClosed(RunnerFixture.JOB);
    fixture.runJob(ITEMS);
    fixture.grantAll();
    assertThat(fixture.runs).isEmpty();
    assertThat(fixture.runner.countRunning()).isZero();
  }
}
