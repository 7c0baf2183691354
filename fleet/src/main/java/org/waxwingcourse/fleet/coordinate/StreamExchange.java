package org.waxwingcourse.fleet.coordinate;

import java.time.Instant;
import java.util.List;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.BegunStreams;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

/**
 * The parts of pings and pongs by which a host tells the coordinator and those that may take its
 * place which software began its streams, so that callers can take them up when it is gone.
 */
final class StreamExchange {
  /** Maximum number of streams in one message; the others follow with the next. */
  private static final int MAX_STREAMS = 512;

  private final long ownBoot;
  private final StreamOrigins own;
  private final StreamOrigins ofAllHosts;
  private final ChangeProgress progress = new ChangeProgress();

  /**
   * Creates an exchange for the host's process that is identified by {@code ownBoot}.
   *
   * @param own the streams of this host's answers
   * @param ofAllHosts where those of other hosts are recorded
   */
  StreamExchange(long ownBoot, StreamOrigins own, StreamOrigins ofAllHosts) {
    this.ownBoot = ownBoot;
    this.own = own;
    this.ofAllHosts = ofAllHosts;
  }

  void addTo(Ping.Builder ping, HostId receiver, Instant now) {
    if (own.version() == 0) {
      return;
    }
    ChangeProgress.Peer peer = progress.of(receiver);
    List<StreamOrigins.Change> changes = own.changesAfter(peer.confirmed(), MAX_STREAMS, now);
    long last = changes.isEmpty() ? peer.confirmed() : changes.get(changes.size() - 1).version();
    BegunStreams.Builder message =
        BegunStreams.newBuilder().setReceiverBoot(peer.boot()).setVersion(last);
    for (StreamOrigins.Change change : changes) {
      message.addStreams(change.stream().hash()).addSoftware(change.software().hash());
    }
    ping.setStreams(message);
  }

  void apply(Ping ping, Instant now) {
    BegunStreams message = ping.getStreams();
    int count = Math.min(message.getStreamsCount(), message.getSoftwareCount());
    for (int i = 0; i < count; i++) {
      ofAllHosts.record(
          new StreamKey(message.getStreams(i)), new SoftwareId(message.getSoftware(i)), now);
    }
  }

  /** Confirms what a ping brought, unless it left out what only an earlier process has received. */
  void addTo(Pong.Builder pong, Ping ping) {
    if (ping.getStreams().getReceiverBoot() == ownBoot) {
      pong.setStreamsSeen(ping.getStreams().getVersion()).setStreamsBoot(ping.getBoot());
    }
  }

  /** Records a confirmation, unless it is for an earlier process of this host. */
  void apply(HostId from, Pong pong) {
    boolean isOwn = pong.getStreamsBoot() == ownBoot || pong.getStreamsBoot() == 0;
    progress.record(from, pong.getBoot(), 0, isOwn ? pong.getStreamsSeen() : 0);
  }
}
