package org.waxwingcourse.fleet.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;

/**
 * A cached copy of a job that another host runs or that has finished. Stored results never change,
 * so results that have been received once may be returned again.
 *
 * <p>Safe for use by several threads.
 */
final class CachedJob {
  /** Maximum number of cached jobs; a few megabytes of results. */
  private static final int MAX_CACHED_JOBS = 200;

  private final OrganisationId organisation;
  private final int itemCount;
  private final List<JobResult> results = new ArrayList<>();
  private HostId runner;

  CachedJob(JobRecord record) {
    this(
        OrganisationId.of(record.getOrganisation()),
        record.getItemTokensCount(),
        HostId.of(record.getRunner()));
  }

  CachedJob(OrganisationId organisation, int itemCount, HostId runner) {
    this.organisation = organisation;
    this.itemCount = itemCount;
    this.runner = runner;
  }

  /** Returns an empty cache, which drops the job that was not used for longest when it is full. */
  static Map<JobId, CachedJob> newCache() {
    return Collections.synchronizedMap(
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<JobId, CachedJob> eldest) {
            return size() > MAX_CACHED_JOBS;
          }
        });
  }

  /** Sets the host that runs the job. */
  synchronized void changeRunner(HostId host) {
    runner = host;
  }

  synchronized void updateRunner(JobRecord record) {
    runner = HostId.of(record.getRunner());
  }

  boolean belongsTo(OrganisationId candidate) {
    return organisation.equals(candidate);
  }

  int itemCount() {
    return itemCount;
  }

  synchronized HostId runner() {
    return runner;
  }

  synchronized boolean hasResultsAfter(int after) {
    return results.size() > after;
  }

  /** Returns whether all results are known, so that no more can follow. */
  synchronized boolean isComplete() {
    return results.size() >= itemCount;
  }

  /** Adds results from a position on. Results that are known already or leave a gap are ignored. */
  synchronized void addResults(int after, List<JobResult> newResults) {
    for (int i = 0; i < newResults.size(); i++) {
      if (after + i == results.size()) {
        results.add(newResults.get(i));
      }
    }
  }

  synchronized JobAnswer.Page page(int after) {
    int from = Math.min(after, results.size());
    return new JobAnswer.Page(itemCount, after, List.copyOf(results.subList(from, results.size())));
  }
}
