package org.waxwingcourse.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.time.ManualClock;

/** Tests that a late host does not take its own lateness for silence of an engine. */
class SilenceWatchTest {
  private static final Duration LIMIT = Duration.ofMillis(120);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Deque<Runnable> checks = new ArrayDeque<>();
  private final Deque<Runnable> input = new ArrayDeque<>();
  private final ScheduledExecutorService timer =
      new ScheduledThreadPoolExecutor(1) {
        @Override
        public ScheduledFuture<?> schedule(Runnable check, long delay, TimeUnit unit) {
          checks.add(check);
          return null;
        }
      };
  private int silences;
  private final SilenceWatch watch = new SilenceWatch(clock, timer, input::add, () -> silences++);

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void checkAfter(Duration time) {
    clock.advance(time);
    checks.poll().run();
    while (!input.isEmpty()) {
      input.poll().run();
    }
  }

  @Test
  void silentEngineIsReportedOnce() {
    watch.start(LIMIT);
    checkAfter(LIMIT);
    assertThat(silences).isEqualTo(1);
    assertThat(checks).isEmpty();
  }

  @Test
  void responseThatHasArrivedUnreadIsNoSilence() {
    input.add(() -> watch.recordActivity(LIMIT));
    watch.start(LIMIT);
    checkAfter(LIMIT);
    assertThat(silences).isZero();
    checkAfter(LIMIT);
    assertThat(silences).isEqualTo(1);
  }

  @Test
  void lateHostGivesTheEngineTheTimeAgain() {
    watch.start(LIMIT);
    checkAfter(LIMIT.plusMillis(300));
    assertThat(silences).isZero();
    checkAfter(LIMIT);
    assertThat(silences).isEqualTo(1);
  }

  @Test
  void hostThatIsAlwaysLateReportsInTheEnd() {
    watch.start(LIMIT);
    for (int i = 0; i < 5 && silences == 0; i++) {
      checkAfter(LIMIT.plusMillis(300));
    }
    assertThat(silences).isEqualTo(1);
  }
}
