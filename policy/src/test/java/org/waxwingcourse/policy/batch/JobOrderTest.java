package org.waxwingcourse.policy.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.retry.Backoff;

class JobOrderTest {
  private static final Instant NOW = Instant.ofEpochSecond(100_000);

  private static JobProgress job(String name, String organisation, int items, int dueSeconds) {
    return job(name, organisation, items, dueSeconds, 0, 0);
  }

  private static JobProgress job(
      String name, String organisation, int items, int dueSeconds, int completed, int claimed) {
    return new JobProgress(
        JobId.of(name),
        OrganisationId.of(organisation),
        NOW.minusSeconds(100),
        Deadline.at(NOW.plusSeconds(dueSeconds)),
        items,
        completed,
        0,
        items / 256 + 1,
        claimed,
        completed / 256);
  }

  @Test
  void selectsJobWithLeastSlackRegardlessOfArrivalAndDeadline() {
    JobProgress large = job("large", "a", 280_000, 14_010);
    JobProgress small = job("small", "a", 100, 10_000);
    JobProgress soon = job("soon", "a", 100, 30);
    assertThat(JobOrder.jobWithLeastSlack(List.of(small, large), NOW)).isEqualTo(large);
    assertThat(JobOrder.jobWithLeastSlack(List.of(large, soon, small), NOW)).isEqualTo(large);
    assertThat(JobOrder.jobWithLeastSlack(List.of(small, soon), NOW)).isEqualTo(soon);
  }

  @Test
  void servesOrganisationsEquallyRegardlessOfTheirNumberOfJobs() {
    JobOrder order = new JobOrder(256);
    List<JobProgress> jobs =
        List.of(
            job("a1", "a", 9000, 10),
            job("a2", "a", 9000, 10),
            job("a3", "a", 9000, 10),
            job("b1", "b", 100, 90_000));
    Map<OrganisationId, Integer> served = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      order.next(jobs, 256, NOW).ifPresent(j -> served.merge(j.organisation(), 1, Integer::sum));
    }
    assertThat(served.values()).containsExactlyInAnyOrder(50, 50);
  }

  @Test
  void explainsWhatDelaysTheJob() {
    Rate rate = Rate.of(5, 10);
    assertThat(WhyLate.explain(job("j", "a", 1000, 60), rate, NOW))
        .contains("no host is processing");
    assertThat(WhyLate.explain(job("j", "a", 1000, 60, 500, 2), rate, NOW))
        .contains("add an exception to raise it");
    assertThat(WhyLate.explain(job("j", "a", 1000, 60, 100, 1), rate, NOW))
        .contains("are waiting for a host");
    assertThat(WhyLate.explain(job("j", "a", 1000, 6000, 100, 1), rate, NOW)).contains("on time");
  }

  @Test
  void backoffStaysWithinItsCapAndCallBudgetWithinItsRate() {
    Backoff backoff = Backoff.of(Duration.ofMillis(100), Duration.ofSeconds(30));
    java.util.Random random = new java.util.Random(1);
    for (int n = 1; n < 100; n++) {
      assertThat(backoff.wait(n - 1, random)).isPositive().isLessThanOrEqualTo(backoff.cap());
    }
    CallBudget budget = new CallBudget(() -> NOW, 10, 5);
    Duration last = Duration.ZERO;
    for (int i = 0; i < 15; i++) {
      last = budget.take();
    }
    assertThat(last).isEqualTo(Duration.ofSeconds(1));
  }
}
