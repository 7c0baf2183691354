package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.KeyNames;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;

/**
 * Finds unfinished jobs whose runner is gone and assigns them to other hosts. Runs on the
 * coordinator. If a job is assigned to two hosts, only one can claim it, since a claim is a
 * compare-and-swap.
 */
public final class JobSupervisor {
  /** A job is not assigned again within this time; a claim takes a few store calls. */
  private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

  private final Store store;
  private final StoreView storeView;
  private final Clocks clocks;
  private final JobService jobs;
  private final Map<JobId, Instant> assignedAt = new HashMap<>();
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
    store.read(KeyRange.ofPrefix(KeyNames.RUNNERS_PREFIX)).thenAccept(this::onRunners);
  }

  private synchronized void onRunners(Either<StoreFailure, Snapshot> answer) {
    if (answer.isLeft()) {
      return;
    }
    Instant now = clocks.instant();
    assignedAt.values().removeIf(at -> now.isAfter(at.plus(CLAIM_TIMEOUT)));
    for (Entry entry : answer.get().entries()) {
      JobId job = JobId.of(entry.key().substring(KeyNames.RUNNERS_PREFIX.length()));
      if (!isRunning(RunnerName.decode(entry.text())) && !assignedAt.containsKey(job)) {
        assignedAt.put(job, now);
        assignToNextHost(job);
      }
    }
  }

  private boolean isRunning(Option<RunnerName> runner) {
    return runner.exists(
        r -> storeView.fleetHosts().findHost(r.host()).exists(h -> h.boot() == r.boot()));
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
