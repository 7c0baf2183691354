package org.waxwingcourse.fleet.job;

import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;

/**
 * What a host that does not run a job remembers of it. Listed results never change, so whatever was
 * seen once may be shown again.
 *
 * <p>Safe for use by several threads.
 */
final class KnownJob {
  private final OrganisationId organisation;
  private final int total;
  private final List<JobResult> results = new ArrayList<>();
  private HostId runner;

  KnownJob(JobRecord record) {
    this(
        OrganisationId.of(record.getOrganisation()),
        record.getItemTokensCount(),
        HostId.of(record.getRunner()));
  }

  KnownJob(OrganisationId organisation, int total, HostId runner) {
    this.organisation = organisation;
    this.total = total;
    this.runner = runner;
  }

  /** Another host runs the job now. */
  synchronized void runsAt(HostId host) {
    runner = host;
  }

  synchronized void update(JobRecord record) {
    runner = HostId.of(record.getRunner());
  }

  boolean isOf(OrganisationId candidate) {
    return organisation.equals(candidate);
  }

  int total() {
    return total;
  }

  synchronized HostId runner() {
    return runner;
  }

  synchronized boolean hasAfter(int after) {
    return results.size() > after;
  }

  /** Tells whether all results are known, so that no more will come. */
  synchronized boolean isComplete() {
    return results.size() >= total;
  }

  /** Takes in results from a position on, as far as they follow on what is known. */
  synchronized void add(int after, List<JobResult> more) {
    for (int i = 0; i < more.size(); i++) {
      if (after + i == results.size()) {
        results.add(more.get(i));
      }
    }
  }

  synchronized JobAnswer.Page page(int after) {
    int from = Math.min(after, results.size());
    return new JobAnswer.Page(total, after, List.copyOf(results.subList(from, results.size())));
  }
}
