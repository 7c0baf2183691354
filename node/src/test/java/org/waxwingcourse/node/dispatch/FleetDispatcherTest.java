package org.waxwingcourse.node.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.standin.engine.EngineFaults;

class FleetDispatcherTest {
  private static final int TOKENS = 20;

  @Test
  void eachCallerGetsCompleteAnswerToOwnRequestDespiteEngineFaults() {
    try (DispatchFleet fleet = new DispatchFleet(3, 2, 8)) {
      List<DispatchFleet.Answer> answers = new ArrayList<>();
      warmUp(fleet);
      fleet.engines.get(0).setFaults(new EngineFaults(1, false, 20, 5));
      fleet.engines.get(1).setFaults(new EngineFaults(1, false, 0, 5));
      for (int i = 0; i < 60; i++) {
        boolean stream = i % 2 == 0;
        answers.add(fleet.run(i % 3, fleet.request("r" + i, WorkClass.ONLINE, stream, TOKENS)));
        if (i == 30) {
          fleet.engines.get(0).silence();
        }
      }
      int done = 0;
      for (DispatchFleet.Answer answer : answers) {
        Outcome outcome = endOf(answer);
        if (outcome instanceof Outcome.Done) {
          done++;
          assertThat(answer.isCompleteAnswer(TOKENS)).as(answer.text()).isTrue();
        }
      }
      assertThat(done).isGreaterThan(answers.size() / 2);
    }
  }

  @Test
  void onlineRequestPreemptsBatchAndBatchIsResumedCompletely() {
    try (DispatchFleet fleet = new DispatchFleet(2, 1, 2)) {
      List<DispatchFleet.Answer> batch = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        batch.add(fleet.run(i, fleet.request("b" + i, WorkClass.BATCH, true, 300)));
      }
      batch.forEach(answer -> answer.firstChunk.orTimeout(20, TimeUnit.SECONDS).join());
      DispatchFleet.Answer online =
          fleet.run(0, fleet.request("o", WorkClass.ONLINE, true, TOKENS));
      assertThat(endOf(online)).isInstanceOf(Outcome.Done.class);
      assertThat(batch).noneMatch(answer -> answer.end.isDone());
      for (DispatchFleet.Answer answer : batch) {
        assertThat(endOf(answer)).isInstanceOf(Outcome.Done.class);
        assertThat(answer.isCompleteAnswer(300)).isTrue();
      }
      assertThat(fleet.engines.get(0).runsOf("b0") + fleet.engines.get(0).runsOf("b1"))
          .isEqualTo(2);
    }
  }

  @Test
  void silentConnectionIsResumedOnNewConnectionWithoutSecondRun() {
    try (DispatchFleet fleet = new DispatchFleet(1, 1, 4)) {
      DispatchFleet.Answer answer = fleet.run(0, fleet.request("r", WorkClass.ONLINE, true, 400));
      answer.firstChunk.orTimeout(20, TimeUnit.SECONDS).join();
      fleet.engines.get(0).silence();
      assertThat(endOf(answer)).isInstanceOf(Outcome.Done.class);
      assertThat(answer.isCompleteAnswer(400)).isTrue();
      assertThat(fleet.engines.get(0).runsOf("r")).isEqualTo(1);
    }
  }

  @Test
  void requestsAvoidKilledEngine() {
    try (DispatchFleet fleet = new DispatchFleet(2, 2, 4)) {
      fleet.engines.get(0).kill();
      for (int i = 0; i < 10; i++) {
        DispatchFleet.Answer answer =
            fleet.run(i % 2, fleet.request("r" + i, WorkClass.ONLINE, false, TOKENS));
        assertThat(endOf(answer)).isInstanceOf(Outcome.Done.class);
      }
    }
  }

  @Test
  void requestWithoutLiveEngineIsRejectedSoonWithRetryTime() {
    try (DispatchFleet fleet = new DispatchFleet(1, 1, 4)) {
      fleet.engines.get(0).kill();
      long start = System.nanoTime();
      DispatchFleet.Answer answer =
          fleet.run(0, fleet.request("r", WorkClass.ONLINE, false, TOKENS));
      Outcome.Refused refused = (Outcome.Refused) endOf(answer);
      assertThat(refused.refusal().retryAt()).isAfter(fleet.clock.instant().minusSeconds(1));
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.SECONDS.toNanos(15));
    }
  }

  private static void warmUp(DispatchFleet fleet) {
    for (int i = 0; i < 6; i++) {
      endOf(fleet.run(i % 3, fleet.request("w" + i, WorkClass.ONLINE, false, TOKENS)));
    }
  }

  private static Outcome endOf(DispatchFleet.Answer answer) {
    return answer.end.orTimeout(40, TimeUnit.SECONDS).join();
  }
}
