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
 * Finds unfinished jobs whose runner is gone and gives them to other hosts. Runs on the
 * coordinator; a job given to two hosts is claimed by one, since a claim is a compare-and-swap.
 */
public final class JobSupervisor {
  /** A job is not given away again for this long; a claim takes a few store calls. */
  private static final Duration CLAIM_TIME = Duration.ofSeconds(2);

  private final Store store;
  private final StoreView storeView;
  private final Clocks clocks;
  private final JobService jobs;
  private final Map<JobId, Instant> given = new HashMap<>();
  private int turn;

  /** Creates a supervisor. */
  public JobSupervisor(Store store, StoreView storeView, Clocks clocks, JobService jobs) {
    this.store = store;
    this.storeView = storeView;
    this.clocks = clocks;
    this.jobs = jobs;
  }

  /** Looks once through all unfinished jobs. */
  public void check() {
    store.read(KeyRange.ofPrefix(KeyNames.RUNNERS_PREFIX)).thenAccept(this::onRunners);
  }

  private synchronized void onRunners(Either<StoreFailure, Snapshot> answer) {
    if (answer.isLeft()) {
      return;
    }
    Instant now = clocks.instant();
    given.values().removeIf(at -> now.isAfter(at.plus(CLAIM_TIME)));
    for (Entry entry : answer.get().entries()) {
      JobId job = JobId.of(entry.key().substring(KeyNames.RUNNERS_PREFIX.length()));
      if (!isRun(RunnerName.decode(entry.text())) && !given.containsKey(job)) {
        given.put(job, now);
        give(job);
      }
    }
  }

  private boolean isRun(Option<RunnerName> runner) {
    return runner.exists(
        r -> storeView.fleetHosts().get(r.host()).exists(h -> h.boot() == r.boot()));
  }

  private void give(JobId job) {
    List<FleetHost> able =
        storeView.fleetHosts().inRegistrationOrder().stream().filter(h -> !h.leaving()).toList();
    if (!able.isEmpty()) {
      turn++;
      jobs.assign(able.get(Math.floorMod(turn, able.size())).id(), job);
    }
  }
}
