package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
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
 * its reports say nothing about the engines. A refused connection is no such report: it was
 * answered by the engine's machine.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class SilenceReports {
  /** Reports of one host within this time are weighed together. */
  private static final Duration WINDOW = Duration.ofMillis(1500);

  /** Number of engines from which on the reports of one host may be about the host. */
  private static final int MIN_REPORTED = 3;

  private final EnginePool engines;
  private final Map<HostId, Map<UpstreamId, Instant>> reports = new HashMap<>();

  SilenceReports(EnginePool engines) {
    this.engines = engines;
  }

  /**
   * Returns whether a host's report counts against an engine. If it does not, the host's recent
   * reports about other engines are revoked too.
   */
  boolean isCredible(HostId host, EngineSlots reported, Instant now) {
    int usedEngines = 0;
    for (EngineSlots engine : engines.all()) {
      if (engine != reported
          && engine.runs().keySet().stream().anyMatch(r -> r.host().equals(host))) {
        usedEngines++;
      }
    }
    Set<UpstreamId> unfounded =
        recordAndFindUnfounded(host, reported.entry().id(), usedEngines, now);
    revoke(unfounded, now);
    return unfounded.isEmpty();
  }

  /**
   * Records a report and returns the engines that the host has reported if its reports do not
   * count, nothing if they do.
   *
   * @param usedEngines number of engines on which the host has runs, without this one
   */
  private Set<UpstreamId> recordAndFindUnfounded(
      HostId host, UpstreamId engine, int usedEngines, Instant now) {
    Map<UpstreamId, Instant> ofHost = reports.computeIfAbsent(host, h -> new HashMap<>());
    ofHost.values().removeIf(at -> at.plus(WINDOW).isBefore(now));
    ofHost.put(engine, now);
    boolean counts = ofHost.size() < MIN_REPORTED || ofHost.size() <= usedEngines;
    return counts ? Set.of() : Set.copyOf(ofHost.keySet());
  }

  /** Revokes the recent reports of a host that turns out to reach no engine. */
  void revoke(HostId host, Instant now) {
    Option.of(reports.remove(host)).forEach(r -> revoke(r.keySet(), now));
  }

  private void revoke(Set<UpstreamId> unfounded, Instant now) {
    for (UpstreamId id : unfounded) {
      Option.of(engines.get(id)).forEach(e -> e.health().revokeFailuresSince(now.minus(WINDOW)));
    }
  }

  void removeHost(HostId host) {
    reports.remove(host);
  }
}
