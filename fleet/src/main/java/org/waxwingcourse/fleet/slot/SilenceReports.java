package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Weighs the reports of hosts that engines are silent or lost. A host that reports most of the
 * engines it uses is itself cut off or short of processor time, as after a restart of many hosts;
 * its reports say nothing about the engines.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class SilenceReports {
  /** Reports of one host within this time are weighed together. */
  private static final Duration WINDOW = Duration.ofMillis(1500);

  /** Number of engines from which on the reports of one host may be about the host. */
  private static final int MIN_REPORTED = 3;

  private final Map<HostId, Map<UpstreamId, Instant>> reports = new HashMap<>();

  /**
   * Records a report and returns the engines that the host has reported if its reports do not
   * count, nothing if they do.
   *
   * @param usedEngines number of engines on which the host has runs, without this one
   */
  Set<UpstreamId> recordAndFindUnfounded(
      HostId host, UpstreamId engine, int usedEngines, Instant now) {
    Map<UpstreamId, Instant> ofHost = reports.computeIfAbsent(host, h -> new HashMap<>());
    ofHost.values().removeIf(at -> at.plus(WINDOW).isBefore(now));
    ofHost.put(engine, now);
    boolean counts = ofHost.size() < MIN_REPORTED || ofHost.size() <= usedEngines;
    return counts ? Set.of() : Set.copyOf(ofHost.keySet());
  }

  /** Returns the earliest time of a report that is still weighed. */
  static Instant windowStart(Instant now) {
    return now.minus(WINDOW);
  }

  void removeHost(HostId host) {
    reports.remove(host);
  }
}
