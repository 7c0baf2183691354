package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.wire.fleet.JobResult;

/** An item for which no slot could be requested kept all items after it from ever being run. */
class FailingItemRequestTest {
  private static final Duration SHORTLY = Duration.ofSeconds(2);
  private static final Duration LONG_AFTER = Duration.ofSeconds(10);
  private static final Duration LIFETIME = Duration.ofSeconds(100);

  private final RunnerFixture fixture = new RunnerFixture();
  private final AtomicInteger requests = new AtomicInteger();

  @AfterEach
  void stop() {
    fixture.stop();
  }

  private void runJobWhoseFirstRequestsFail(int count) {
    fixture.promptParts =
        headers -> {
          if (requests.incrementAndGet() <= count) {
            throw new IllegalStateException("parts");
          }
          return List.of();
        };
    fixture.runJob(3);
  }

  @Test
  void itemsAfterItAreRunAtOnceAndItselfLater() {
    runJobWhoseFirstRequestsFail(1);
    fixture.finish(1, "text");
    fixture.finish(2, "text");
    fixture.timer.advance(SHORTLY);
    assertThat(fixture.stored()).extracting(JobResult::getItem).containsExactly("item-1", "item-2");
    fixture.timer.advance(LONG_AFTER);
    fixture.finish(0, "text");
    fixture.timer.advance(LONG_AFTER);
    assertThat(fixture.stored()).hasSize(3).allMatch(JobResult::getCompleted);
  }

  @Test
  void itemWhoseRequestsAlwaysFailIsGivenUpAtTheEndOfItsLifetime() {
    runJobWhoseFirstRequestsFail(Integer.MAX_VALUE);
    fixture.timer.advance(LIFETIME);
    assertThat(fixture.stored()).hasSize(3).noneMatch(JobResult::getCompleted);
  }
}
