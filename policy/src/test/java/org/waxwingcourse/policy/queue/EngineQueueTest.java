package org.waxwingcourse.policy.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;

class EngineQueueTest {
  private static final int SLOTS = 4;

  private final ManualClock clock = ManualClock.at(Instant.EPOCH);
  private final EngineQueue queue = EngineQueue.of(QueueLimits.ofSlots(SLOTS), clock);

  @Test
  void onlineRequestStartsImmediatelyWhenBatchOccupiesEverySlot() {
    for (int i = 0; i < SLOTS; i++) {
      assertThat(offer("b" + i, WorkClass.BATCH).start()).hasSize(1);
    }
    Actions actions = offer("o1", WorkClass.ONLINE);
    assertThat(actions.start()).containsExactly(RequestId.of("o1"));
    assertThat(actions.yield()).isNotEmpty();
    assertThat(queue.load().online()).isEqualTo(1);
  }

  @Test
  void preemptedBatchStreamRestartsAfterTheOnlineRequestEnds() {
    offer("b0", WorkClass.BATCH);
    assertThat(offer("o1", WorkClass.ONLINE).yield()).containsExactly(RequestId.of("b0"));
    assertThat(queue.stopped(RequestId.of("b0")).start()).isEmpty();
    assertThat(queue.end(RequestId.of("o1"), 5).start()).containsExactly(RequestId.of("b0"));
  }

  @Test
  void requestThatCannotStartInTimeIsRejectedImmediatelyWithARetryTime() {
    fillWithOnline();
    clock.advance(Duration.ofSeconds(8));
    queue.end(RequestId.of("o0"), 100);
    offer("o4", WorkClass.ONLINE);
    Actions late = offer("o5", WorkClass.ONLINE);
    assertThat(late.refusalOf(RequestId.of("o5")))
        .allMatch(r -> r.code() == RefusalCode.OVERLOADED)
        .allMatch(r -> r.retryAt().isAfter(clock.instant()))
        .isNotEmpty();
  }

  @Test
  void waitingRequestIsRejectedExactlyAtItsDeadline() {
    fillWithOnline();
    assertThat(offer("o9", WorkClass.ONLINE).refuse()).isEmpty();
    clock.advance(Duration.ofMillis(999));
    assertThat(queue.tick().refuse()).isEmpty();
    clock.advance(Duration.ofMillis(1));
    assertThat(queue.tick().refuse()).extracting(r -> r.id().value()).containsExactly("o9");
    assertThat(queue.load().onlineWaiting()).isZero();
  }

  private void fillWithOnline() {
    for (int i = 0; i < SLOTS; i++) {
      assertThat(offer("o" + i, WorkClass.ONLINE).start()).hasSize(1);
    }
  }

  private Actions offer(String id, WorkClass workClass) {
    Deadline startBy = Deadline.after(clock, Duration.ofSeconds(1));
    return queue.offer(new Ticket(RequestId.of(id), OrganisationId.of("org"), workClass, startBy));
  }
}
