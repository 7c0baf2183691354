package org.waxwingcourse.node.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.standin.engine.EngineOptions;
import org.waxwingcourse.store.KeyRange;

class ModelReconcilerTest {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  @Test
  void ownerOrdersDeclaredModelWithFencingNumberFromStore() {
    try (DispatchFleet fleet = new DispatchFleet(2, 1, 4, EngineOptions.of("other"))) {
      long end = System.nanoTime() + TIMEOUT_NANOS;
      DispatchFleet.Answer answer = run(fleet, 0);
      for (int i = 1; !answer.isCompleteAnswer(5) && System.nanoTime() < end; i++) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200));
        answer = run(fleet, i);
      }
      assertThat(answer.isCompleteAnswer(5)).as(answer.text()).isTrue();
      assertThat(fleet.store.peek(KeyRange.ofPrefix("/waxwing/engines/")).entries()).hasSize(1);
    }
  }

  private static DispatchFleet.Answer run(DispatchFleet fleet, int number) {
    DispatchFleet.Answer answer =
        fleet.run(0, fleet.request("r" + number, WorkClass.ONLINE, true, 5));
    Outcome outcome = answer.end.orTimeout(40, TimeUnit.SECONDS).join();
    assertThat(outcome).isNotNull();
    return answer;
  }
}
