package org.waxwingcourse.policy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;

class RetryTest {
  private static final int REQUESTS = 20_000;
  private static final int MAX_ATTEMPTS = 4;
  private static final Instant START = Instant.EPOCH;
  private static final Deadline DISTANT_DEADLINE = Deadline.at(START.plusSeconds(60));

  @Test
  void amplificationDuringAnOutageStaysWithinTheBudget() {
    for (double failureProbability : new double[] {0.5, 1.0}) {
      RetryPolicy policy = RetryPolicy.of(ManualClock.at(START), new Random(1));
      double budgeted =
          amplification(
              failureProbability,
              retry -> policy.next(retry, DISTANT_DEADLINE).isDefined(),
              policy);
      double fixedAttempts = amplification(failureProbability, retry -> true, policy);
      System.out.printf(
          "failure probability %.1f: budget %.3f fixed attempts %.3f%n",
          failureProbability, budgeted, fixedAttempts);
      assertThat(budgeted).isLessThan(1.11);
      assertThat(fixedAttempts).isGreaterThan(1.7);
    }
  }

  @Test
  void noRetryAtOrAfterTheDeadline() {
    Backoff backoff = Backoff.of(Duration.ofMillis(20), Duration.ofMillis(500));
    Random random = new Random(2);
    for (int i = 0; i < 1000; i++) {
      Deadline deadline = Deadline.at(START.plusMillis(i % 100));
      Option<Instant> next = backoff.next(i % 6, START, deadline, random);
      assertThat(next.forAll(at -> !deadline.isPast(at))).isTrue();
    }
    assertThat(backoff.next(0, START, Deadline.at(START), random)).isEmpty();
  }

  private static double amplification(
      double failureProbability, IntPredicate mayRetry, RetryPolicy policy) {
    Random random = new Random(3);
    int sent = 0;
    for (int i = 0; i < REQUESTS; i++) {
      policy.onRequest();
      int attempts = 1;
      sent++;
      while (random.nextDouble() < failureProbability
          && attempts < MAX_ATTEMPTS
          && mayRetry.test(attempts - 1)) {
        attempts++;
        sent++;
      }
    }
    return sent / (double) REQUESTS;
  }
}
