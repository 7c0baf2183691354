package org.waxwingcourse.fleet.job;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.time.Deadline;

/**
 * Counts the items of a host that have no run, by reason, and logs those that have waited for long.
 * The number of lines is bounded, since a job may have hundreds of thousands of items; those that
 * are left out are logged by a later check.
 */
final class ItemWaits {
  /** Maximum number of lines that one check writes of items that wait for more than a slot. */
  static final int MAX_LINES = 8;

  /** Maximum number of these lines for one job. */
  static final int MAX_LINES_PER_JOB = 4;

  /** Maximum number of lines that one check writes of items that wait for a slot. */
  static final int MAX_SLOT_LINES = 1;

  private static final EventLog LOG = EventLog.of(ItemWaits.class);

  private final InstantSource clock;
  private int checks;
  private volatile Map<WaitReason, Integer> counts = Map.of();

  /** An item that is due to be reported. */
  record DueItem(JobId job, String item, ItemWait state, WaitReason reason, Deadline reportAt) {}

  /** The items that have been due for longest, up to a limit. */
  private static final class Selection {
    private final PriorityQueue<DueItem> latestFirst =
        new PriorityQueue<>(Comparator.comparing(DueItem::reportAt).reversed());
    private final int limit;

    Selection(int limit) {
      this.limit = limit;
    }

    void offer(JobId job, ItemRun item, WaitReason reason, Deadline reportAt) {
      if (latestFirst.size() >= limit) {
        if (limit == 0 || reportAt.compareTo(latestFirst.peek().reportAt()) >= 0) {
          return;
        }
        latestFirst.poll();
      }
      latestFirst.add(new DueItem(job, item.item().getId(), item.waitState(), reason, reportAt));
    }
  }

  ItemWaits(InstantSource clock) {
    this.clock = clock;
  }

  /** Registers a gauge of the waiting items for each reason. */
  void registerMetrics(MetricRegistry metrics) {
    for (WaitReason reason : WaitReason.values()) {
      metrics.register(reason.metricName(), (Gauge<Integer>) () -> count(reason));
    }
  }

  /** Returns how many items had no run for a reason at the last check. */
  int count(WaitReason reason) {
    return counts.getOrDefault(reason, 0);
  }

  /** Counts the items of all jobs and logs those that are due. Returns these. */
  List<DueItem> check(Collection<RunningJob> jobs) {
    Instant now = clock.instant();
    List<DueItem> due = findDue(jobs, now);
    for (DueItem item : due) {
      write(item, now);
      item.state().onReported(now);
    }
    return due;
  }

  private List<DueItem> findDue(Collection<RunningJob> jobs, Instant now) {
    Map<WaitReason, Integer> found = new EnumMap<>(WaitReason.class);
    Selection slotWaits = new Selection(MAX_SLOT_LINES);
    List<DueItem> due = new ArrayList<>();
    for (RunningJob job : inTurn(jobs)) {
      Selection others = new Selection(Math.min(MAX_LINES_PER_JOB, MAX_LINES - due.size()));
      job.forEachUnlisted(
          item -> {
            for (WaitReason reason : item.waitState().reason()) {
              found.merge(reason, 1, Integer::sum);
              Deadline reportAt = item.waitState().reportAt();
              if (reportAt.isPast(now)) {
                Selection selection = reason == WaitReason.SLOT_REQUESTED ? slotWaits : others;
                selection.offer(job.id(), item, reason, reportAt);
              }
            }
          });
      due.addAll(others.latestFirst);
    }
    due.addAll(slotWaits.latestFirst);
    counts = found;
    return due;
  }

  /** Returns the jobs, another one first at each check, so that each job gets lines. */
  private List<RunningJob> inTurn(Collection<RunningJob> jobs) {
    List<RunningJob> inTurn = new ArrayList<>(jobs);
    Collections.rotate(inTurn, checks);
    checks++;
    return inTurn;
  }

  private static void write(DueItem due, Instant now) {
    ItemWait state = due.state();
    LOG.write(
        Event.ITEM_WAITS,
        due.item(),
        due.job(),
        Duration.between(state.since(), now).toMillis(),
        due.reason(),
        state.until().map(d -> "in " + millisUntil(d, now) + " ms").getOrElse("none"),
        state.lastRefusal().map(r -> describe(r, now)).getOrElse("none"));
  }

  private static String describe(ItemWait.LastRefusal refusal, Instant now) {
    return "%s by coordinator \"%s\", retry in %d ms: %s"
        .formatted(
            refusal.code(),
            refusal.by().map(HostId::value).getOrElse("none"),
            millisUntil(refusal.retryAt(), now),
            refusal.text());
  }

  private static long millisUntil(Deadline deadline, Instant now) {
    return Duration.between(now, deadline.at()).toMillis();
  }
}
