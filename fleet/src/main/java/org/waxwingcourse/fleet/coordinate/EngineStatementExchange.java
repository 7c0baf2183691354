package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.util.List;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.LimitChange;
import org.waxwingcourse.fleet.view.LimitReading;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.wire.fleet.EngineLimit;
import org.waxwingcourse.wire.fleet.EngineLimits;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

/**
 * The parts of pings and pongs by which hosts tell one another what engines said in answers. The
 * boots that are leaving are few and sent whole. Limits may be many and change often: a host sends
 * the changes that the receiver has not confirmed, which the receiver does in its next message.
 */
final class EngineStatementExchange {
  /** Maximum number of limits in one message; the others follow with the next. */
  private static final int MAX_LIMITS = 512;

  private final long ownBoot;
  private final EngineDirectory engines;
  private final ChangeProgress progress = new ChangeProgress();

  /** Creates an exchange for the host's process that is identified by {@code ownBoot}. */
  EngineStatementExchange(long ownBoot, EngineDirectory engines) {
    this.ownBoot = ownBoot;
    this.engines = engines;
  }

  void addTo(Ping.Builder ping, HostId receiver) {
    ping.addAllLeaving(FleetMessageConverter.encodeBoots(engines.leavingByAnswer()));
    ping.setLimits(limitsFor(receiver));
  }

  void addTo(Pong.Builder pong, HostId receiver) {
    pong.addAllLeaving(FleetMessageConverter.encodeBoots(engines.leavingByAnswer()));
    pong.setLimits(limitsFor(receiver));
  }

  void apply(HostId from, Ping ping) {
    engines.learnLeaving(FleetMessageConverter.toBoots(ping.getLeavingList()), from);
    apply(from, ping.getLimits());
  }

  void apply(HostId from, Pong pong) {
    engines.learnLeaving(FleetMessageConverter.toBoots(pong.getLeavingList()), from);
    apply(from, pong.getLimits());
  }

  private EngineLimits.Builder limitsFor(HostId receiver) {
    ChangeProgress.Peer peer = progress.of(receiver);
    List<LimitChange> changes = engines.limitChangesAfter(peer.confirmed(), MAX_LIMITS);
    EngineLimits.Builder limits =
        EngineLimits.newBuilder()
            .setBoot(ownBoot)
            .setVersion(changes.isEmpty() ? 0 : changes.get(changes.size() - 1).version())
            .setSeenBoot(peer.boot())
            .setSeenVersion(peer.seen());
    changes.forEach(c -> limits.addChanged(encode(c)));
    return limits;
  }

  private void apply(HostId from, EngineLimits limits) {
    long confirmed = limits.getSeenBoot() == ownBoot ? limits.getSeenVersion() : 0;
    progress.record(from, limits.getBoot(), limits.getVersion(), confirmed);
    if (limits.getChangedCount() > 0) {
      engines.learnLimits(
          limits.getChangedList().stream().map(EngineStatementExchange::decode).toList(), from);
    }
  }

  private static EngineLimit encode(LimitChange change) {
    EngineLimit.Builder limit =
        EngineLimit.newBuilder()
            .setEngine(change.boot().id().value())
            .setStartedMillis(change.boot().startedAtMillis())
            .setOrder(change.reading().order());
    change
        .reading()
        .limit()
        .forEach(l -> limit.setLimited(true).setRequestsPerSecond(l.perSecond()));
    return limit.build();
  }

  private static LimitChange decode(EngineLimit limit) {
    EngineBoot boot = new EngineBoot(UpstreamId.of(limit.getEngine()), limit.getStartedMillis());
    Option<RequestRate> rate =
        limit.getLimited() ? RequestRate.of(limit.getRequestsPerSecond()) : Option.none();
    return new LimitChange(boot, new LimitReading(limit.getOrder(), rate), 0);
  }
}
