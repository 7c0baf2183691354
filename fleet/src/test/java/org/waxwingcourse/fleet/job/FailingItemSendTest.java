package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.wire.fleet.JobResult;

/**
 * An item that could not be sent held its slot for good, and those that waited with it for a read
 * of their job's record were never sent either.
 */
class FailingItemSendTest {
  private static final Duration UNTIL_RECORD_IS_READ_AGAIN = Duration.ofSeconds(5);
  private static final Duration SHORTLY = Duration.ofSeconds(2);
  private static final Duration LONG_AFTER = Duration.ofSeconds(10);
  private static final Duration LIFETIME = Duration.ofSeconds(100);

  private final RunnerFixture fixture = new RunnerFixture();
  private final AtomicInteger sent = new AtomicInteger();

  @AfterEach
  void stop() {
    fixture.stop();
  }

  private void failFirstSends(int count) {
    fixture.onRequest =
        (request, listener) -> {
          if (sent.incrementAndGet() <= count) {
            throw new IllegalStateException("send");
          }
          return () -> {};
        };
  }

  @Test
  void itemsThatWaitWithItAreSentAtOnceAndItselfLater() {
    failFirstSends(1);
    fixture.runJob(3);
    fixture.timer.advance(UNTIL_RECORD_IS_READ_AGAIN);
    fixture.store.holdReads();
    List<Long> slots = fixture.grantAll();
    fixture.store.answerReads();
    assertThat(fixture.unusedSlots).containsExactly(slots.get(0));
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
  void itemThatCanNeverBeSentIsGivenUpAtTheEndOfItsLifetime() {
    failFirstSends(Integer.MAX_VALUE);
    fixture.runJob(1);
    for (Duration passed = Duration.ZERO;
        passed.compareTo(LIFETIME) < 0;
        passed = passed.plus(SHORTLY)) {
      fixture.grantAll();
      fixture.timer.advance(SHORTLY);
    }
    assertThat(fixture.stored()).hasSize(1).noneMatch(JobResult::getCompleted);
  }
}
