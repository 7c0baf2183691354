package org.waxwingcourse.node.dispatch;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.queue.EngineLoad;
import org.waxwingcourse.wire.DispatchLoad;

/**
 * The latest load reports of engines that other hosts own, each with the number of requests that
 * this host has sent since.
 */
final class RemoteEngineLoads {
  private static final Duration LOAD_REPORT_TTL = Duration.ofSeconds(5);

  private final InstantSource clock;
  private final ConcurrentMap<UpstreamId, LoadReport> reports = new ConcurrentHashMap<>();

  RemoteEngineLoads(InstantSource clock) {
    this.clock = clock;
  }

  private record LoadReport(
      EngineLoad load, boolean takesWork, Deadline validUntil, AtomicInteger sentSince) {}

  void update(DispatchLoad message) {
    LoadReport report =
        new LoadReport(
            DispatchCodec.decode(message),
            message.getTakesWork(),
            Deadline.after(clock, LOAD_REPORT_TTL),
            new AtomicInteger());
    reports.put(UpstreamId.of(message.getEngine()), report);
  }

  void recordSent(UpstreamId engine) {
    LoadReport report = reports.get(engine);
    if (report != null) {
      report.sentSince().incrementAndGet();
    }
  }

  boolean takesWork(UpstreamId engine) {
    LoadReport report = currentReport(engine);
    return report == null || report.takesWork();
  }

  /** Returns the load per slot, zero for an engine without a recent report. */
  double load(UpstreamId engine, WorkClass workClass) {
    LoadReport report = currentReport(engine);
    if (report == null) {
      return 0;
    }
    double sentPerSlot = report.sentSince().get() / (double) report.load().slots();
    return sentPerSlot + perSlot(report.load(), workClass);
  }

  static double perSlot(EngineLoad load, WorkClass workClass) {
    return workClass == WorkClass.ONLINE ? load.onlinePerSlot() : load.perSlot();
  }

  private LoadReport currentReport(UpstreamId engine) {
    LoadReport report = reports.get(engine);
    return report == null || report.validUntil().isPast(clock.instant()) ? null : report;
  }
}
