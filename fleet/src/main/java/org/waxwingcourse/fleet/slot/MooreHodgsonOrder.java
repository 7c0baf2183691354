package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Orders batch requests so that as many as possible end in time, also while more work arrives than
 * the slots can do. Earliest deadline first alone collapses under such a load: it always serves the
 * request with the least slack, and nearly every request ends just too late.
 *
 * <p>This is the Moore–Hodgson algorithm on the estimated slot time: requests are taken in order of
 * their due times, and whenever the next one would end late, the request of those taken that needs
 * most time, of equal ones that with the least slack, is left to the late ones. Requests that have
 * already run for a while need less and are therefore kept. A margin covers the peaks of online
 * load, which preempt runs, and the error of the estimate.
 */
final class MooreHodgsonOrder implements BatchOrder {
  /** Margin before the due time that does not depend on the run time. */
  private static final Duration FIXED_MARGIN = Duration.ofMillis(400);

  /**
   * Margin in relation to the remaining run time: a run that needs longer meets more peaks of
   * online load.
   */
  private static final double MARGIN_PER_RUN_TIME = 0.8;

  private record Job(SlotRequest request, Instant dueAt, double seconds) {
    long nanos() {
      return (long) (seconds * 1e9);
    }
  }

  private static final Comparator<Job> EARLIEST_DUE_FIRST =
      Comparator.comparing(Job::dueAt)
          .thenComparing(j -> j.request.id().host())
          .thenComparing(j -> j.request.id().number());

  /** Order of the late ones: some can still end in time if no peak interrupts them. */
  private static Comparator<Job> feasibleThenShortest(Instant now) {
    return Comparator.comparing((Job j) -> j.dueAt.isBefore(now.plusNanos(j.nanos())))
        .thenComparingDouble(Job::seconds)
        .thenComparing(EARLIEST_DUE_FIRST);
  }

  @Override
  public BatchPlan plan(Collection<SlotRequest> waiting, BatchLoad load, Instant now) {
    double slots = Math.max(1, load.slots());
    List<Job> jobs = new ArrayList<>();
    waiting.forEach(r -> jobs.add(toJob(r, load)));
    jobs.sort(EARLIEST_DUE_FIRST);
    PriorityQueue<Job> longestFirst =
        new PriorityQueue<>(
            Comparator.comparingDouble(Job::seconds).reversed().thenComparing(EARLIEST_DUE_FIRST));
    Set<Job> late = new HashSet<>();
    double queued = load.backlog().toNanos() / 1e9;
    for (Job job : jobs) {
      longestFirst.add(job);
      queued += job.seconds;
      while (!longestFirst.isEmpty() && endsLate(job, queued / slots, now)) {
        Job dropped = longestFirst.poll();
        late.add(dropped);
        queued -= dropped.seconds;
        if (dropped == job) {
          break;
        }
      }
    }
    return new BatchPlan(
        jobs.stream().filter(j -> !late.contains(j)).map(Job::request).toList(),
        late.stream().sorted(feasibleThenShortest(now)).map(Job::request).toList());
  }

  private static Job toJob(SlotRequest request, BatchLoad load) {
    Instant dueAt = request.batchWork().map(w -> w.dueAt().at()).getOrElse(Instant.MAX);
    return new Job(request, dueAt, load.remaining().apply(request).toNanos() / 1e9);
  }

  /**
   * Returns whether the last of the requests taken so far ends late: it starts when the slots have
   * done what is ahead of it and then runs on one of them.
   */
  private static boolean endsLate(Job last, double queuedSecondsPerSlot, Instant now) {
    double margin = FIXED_MARGIN.toNanos() / 1e9 + MARGIN_PER_RUN_TIME * last.seconds;
    double end = Math.max(queuedSecondsPerSlot, last.seconds) + margin;
    return last.dueAt.isBefore(now.plusNanos((long) (end * 1e9)));
  }
}
