package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A call to the store that threw left its job with a read, a commit or a take-over in progress that
 * never ended, and that all later ones waited for.
 */
class ThrowingStoreTest {
  private static final Duration UNTIL_RECORD_IS_READ_AGAIN = Duration.ofSeconds(5);
  private static final Duration SHORTLY = Duration.ofSeconds(2);

  private final RunnerFixture fixture = new RunnerFixture();

  @AfterEach
  void stop() {
    fixture.stop();
  }

  private void throwOnNextRead() {
    fixture.store.afterRead(
        () -> {
          throw new IllegalStateException("read");
        });
  }

  private void throwOnNextWrite() {
    AtomicBoolean thrown = new AtomicBoolean();
    fixture.store.rejectWrites(
        transaction -> {
          if (thrown.compareAndSet(false, true)) {
            throw new IllegalStateException("write");
          }
          return false;
        });
  }

  private void assertItemGetsItsResult() {
    fixture.finish(0, "text");
    fixture.timer.advance(SHORTLY);
    assertThat(fixture.stored()).hasSize(1);
  }

  @Test
  void itemIsSentThoughTheReadOfItsRecordThrows() {
    fixture.runJob(1);
    fixture.timer.advance(UNTIL_RECORD_IS_READ_AGAIN);
    throwOnNextRead();
    assertItemGetsItsResult();
  }

  @Test
  void resultIsStoredThoughItsFirstCommitThrows() {
    fixture.runJob(1);
    throwOnNextWrite();
    assertItemGetsItsResult();
  }

  @Test
  void jobIsRunThoughTheFirstReadOfItsRecordThrows() {
    throwOnNextRead();
    fixture.runJob(1);
    fixture.timer.advance(SHORTLY);
    assertItemGetsItsResult();
  }
}
