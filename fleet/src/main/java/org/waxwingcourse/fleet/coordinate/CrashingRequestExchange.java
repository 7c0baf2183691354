package org.waxwingcourse.fleet.coordinate;

import java.util.List;
import org.waxwingcourse.fleet.quarantine.CrashRecord;
import org.waxwingcourse.fleet.quarantine.CrashRecordCodec;
import org.waxwingcourse.fleet.quarantine.CrashingRequests;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

/**
 * The parts of pings and pongs by which hosts tell one another under which requests engines have
 * ended, so that the count of each request outlives a coordinator. A host sends the changes that
 * the receiver has not confirmed.
 */
final class CrashingRequestExchange {
  private static final EventLog LOG = EventLog.of(CrashingRequestExchange.class);

  /** Maximum number of records in one message; the others follow with the next. */
  private static final int MAX_RECORDS = 256;

  private final long ownBoot;
  private final CrashingRequests requests;
  private final Clocks clocks;
  private final ChangeProgress progress = new ChangeProgress();

  /** Creates an exchange for the host's process that is identified by {@code ownBoot}. */
  CrashingRequestExchange(long ownBoot, CrashingRequests requests, Clocks clocks) {
    this.ownBoot = ownBoot;
    this.requests = requests;
    this.clocks = clocks;
  }

  void addTo(Ping.Builder ping, HostId receiver) {
    if (requests.version() > 0) {
      ping.setCrashingRequests(changesFor(receiver));
    }
  }

  void addTo(Pong.Builder pong, HostId receiver) {
    if (requests.version() > 0) {
      pong.setCrashingRequests(changesFor(receiver));
    }
  }

  void apply(HostId from, Ping ping) {
    if (ping.hasCrashingRequests()) {
      apply(from, ping.getCrashingRequests());
    }
  }

  void apply(HostId from, Pong pong) {
    if (pong.hasCrashingRequests()) {
      apply(from, pong.getCrashingRequests());
    }
  }

  private org.waxwingcourse.wire.fleet.CrashingRequests changesFor(HostId receiver) {
    ChangeProgress.Peer peer = progress.of(receiver);
    List<CrashingRequests.Change> changes = requests.changesAfter(peer.confirmed(), MAX_RECORDS);
    org.waxwingcourse.wire.fleet.CrashingRequests.Builder message =
        org.waxwingcourse.wire.fleet.CrashingRequests.newBuilder()
            .setBoot(ownBoot)
            .setVersion(changes.isEmpty() ? 0 : changes.get(changes.size() - 1).version())
            .setSeenBoot(peer.boot())
            .setSeenVersion(peer.seen());
    changes.forEach(c -> message.addChanged(CrashRecordCodec.encode(c.record(), clocks.now())));
    return message.build();
  }

  private void apply(HostId from, org.waxwingcourse.wire.fleet.CrashingRequests message) {
    long confirmed = message.getSeenBoot() == ownBoot ? message.getSeenVersion() : 0;
    progress.record(from, message.getBoot(), message.getVersion(), confirmed);
    for (CrashRecord record : CrashRecordCodec.decode(message.getChangedList(), clocks.now())) {
      requests
          .merge(record, clocks.instant())
          .forEach(r -> LOG.write(Event.CRASHING_REQUEST_LEARNED, r.request(), r.crashes(), from));
    }
  }
}
