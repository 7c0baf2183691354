package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreAnswers;
import org.waxwingcourse.store.StoreFailure;

/**
 * Finds unfinished jobs whose runner is gone and assigns them to other hosts, and reminds live
 * runners of theirs. Runs on the coordinator. If a job is assigned to two hosts, only one can claim
 * it, since a claim is a compare-and-swap.
 */
public final class JobSupervisor {
  /** A job is not assigned again within this time; a claim takes a few store calls. */
  private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Interval between the messages that remind a live runner of a job, which it ignores while it
   * runs the job.
   */
  private static final Duration REMINDER_INTERVAL = Duration.ofSeconds(8);

  private final Store store;
  private final StoreView storeView;
  private final Clocks clocks;
  private final JobService jobs;
  private final Map<JobId, Instant> assignedAt = new HashMap<>();
  private final Map<JobId, Deadline> remindAt = new HashMap<>();
  private int nextHostIndex;

  /** Creates a supervisor. */
  public JobSupervisor(Store store, StoreView storeView, Clocks clocks, JobService jobs) {
    this.store = store;
    this.storeView = storeView;
    this.clocks = clocks;
    this.jobs = jobs;
  }

  /** Checks all unfinished jobs once. */
  public void checkRunners() {
    StoreAnswers.handle(
        store.read(KeyRange.ofPrefix(StoreKeys.RUNNERS_PREFIX)),
        "a read of the runners of jobs",
        this::onRunners,
        failure -> {});
  }

  private synchronized void onRunners(Either<StoreFailure, Snapshot> answer) {
    if (answer.isLeft()) {
      return;
    }
    Instant now = clocks.instant();
    assignedAt.values().removeIf(at -> now.isAfter(at.plus(CLAIM_TIMEOUT)));
    Set<JobId> withRunner = new HashSet<>();
    for (Entry entry : answer.get().entries()) {
      for (JobId job : StoreKeys.findJob(entry.key(), StoreKeys.RUNNERS_PREFIX)) {
        Option<RunnerName> runner = RunnerName.decode(entry.text()).filter(this::isLive);
        if (runner.isDefined()) {
          withRunner.add(job);
          remindRunner(job, runner.get().host(), now);
        } else if (!assignedAt.containsKey(job)) {
          assignedAt.put(job, now);
          assignToNextHost(job);
        }
      }
    }
    remindAt.keySet().retainAll(withRunner);
  }

  /** That a process is alive does not show that it runs the jobs that name it. */
  private void remindRunner(JobId job, HostId runner, Instant now) {
    Deadline next = remindAt.computeIfAbsent(job, j -> Deadline.at(now.plus(REMINDER_INTERVAL)));
    if (next.isPast(now)) {
      remindAt.put(job, Deadline.at(now.plus(REMINDER_INTERVAL)));
      jobs.remindRunner(runner, job);
    }
  }

  private boolean isLive(RunnerName runner) {
    return storeView.fleetHosts().findHost(runner.host()).exists(h -> h.boot() == runner.boot());
  }

  private void assignToNextHost(JobId job) {
    List<FleetHost> availableHosts =
        storeView.fleetHosts().inRegistrationOrder().stream().filter(h -> !h.leaving()).toList();
    if (!availableHosts.isEmpty()) {
      nextHostIndex++;
      jobs.assignJob(
          availableHosts.get(Math.floorMod(nextHostIndex, availableHosts.size())).id(), job);
    }
  }
}
