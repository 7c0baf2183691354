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

/** The last digests of engines that other hosts own, with what this host has sent since. */
final class LoadTable {
  private static final Duration KEPT = Duration.ofSeconds(5);

  private final InstantSource clock;
  private final ConcurrentMap<UpstreamId, Digest> digests = new ConcurrentHashMap<>();

  LoadTable(InstantSource clock) {
    this.clock = clock;
  }

  private record Digest(
      EngineLoad load, boolean takesWork, Deadline until, AtomicInteger sentSince) {}

  void take(DispatchLoad message) {
    Digest digest =
        new Digest(
            DispatchCodec.decode(message),
            message.getTakesWork(),
            Deadline.after(clock, KEPT),
            new AtomicInteger());
    digests.put(UpstreamId.of(message.getEngine()), digest);
  }

  void sent(UpstreamId engine) {
    Digest digest = digests.get(engine);
    if (digest != null) {
      digest.sentSince().incrementAndGet();
    }
  }

  boolean takesWork(UpstreamId engine) {
    Digest digest = current(engine);
    return digest == null || digest.takesWork();
  }

  /** Returns the work for each slot; none is assumed of an engine without a recent digest. */
  double load(UpstreamId engine, WorkClass workClass) {
    Digest digest = current(engine);
    if (digest == null) {
      return 0;
    }
    double since = digest.sentSince().get() / (double) digest.load().slots();
    return since + perSlot(digest.load(), workClass);
  }

  static double perSlot(EngineLoad load, WorkClass workClass) {
    return workClass == WorkClass.ONLINE ? load.onlinePerSlot() : load.perSlot();
  }

  private Digest current(UpstreamId engine) {
    Digest digest = digests.get(engine);
    return digest == null || digest.until().isPast(clock.instant()) ? null : digest;
  }
}
