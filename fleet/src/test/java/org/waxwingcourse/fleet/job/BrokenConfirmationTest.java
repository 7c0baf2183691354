package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A host whose entry had expired never confirmed a job again after one read had broken. */
class BrokenConfirmationTest {
  private static final Duration SOON = Duration.ofSeconds(1);

  private final RunnerFixture fixture = new RunnerFixture();

  @AfterEach
  void stop() {
    fixture.stop();
  }

  @Test
  void jobIsConfirmedByALaterRead() {
    fixture.runJob(1);
    fixture.closeInStore();
    fixture.store.breakReads();
    fixture.runner.confirmAll();
    fixture.store.answerReads();
    fixture.timer.advance(SOON);
    assertThat(fixture.runner.findJob(RunnerFixture.JOB)).isEmpty();
  }
}
