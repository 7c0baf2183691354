package org.waxwingcourse.fleet.coordinate;

import java.util.HashMap;
import java.util.Map;
import org.waxwingcourse.model.id.HostId;

/**
 * How far hosts have told one another of changes. Each process numbers its changes; a message
 * brings those that the receiver has not confirmed, and confirms those received from it.
 *
 * <p>Safe for use by several threads.
 */
final class ChangeProgress {
  private final Map<HostId, Peer> peers = new HashMap<>();

  /**
   * How far the exchange with another host's process has come.
   *
   * @param boot identifies the process
   * @param seen the change up to which its changes have been received
   * @param confirmed the change up to which it has confirmed the changes of this host
   */
  record Peer(long boot, long seen, long confirmed) {
    static final Peer UNKNOWN = new Peer(0, 0, 0);
  }

  /** Returns how far the exchange with a host has come. */
  synchronized Peer of(HostId host) {
    return peers.getOrDefault(host, Peer.UNKNOWN);
  }

  /**
   * Records a message.
   *
   * @param boot identifies the sender's process
   * @param version the change up to which the message brings the sender's changes
   * @param confirmed the change up to which the sender confirms those of this process
   */
  synchronized void record(HostId from, long boot, long version, long confirmed) {
    Peer known = of(from);
    Peer peer = known.boot == boot ? known : new Peer(boot, 0, 0);
    peers.put(
        from, new Peer(boot, Math.max(peer.seen, version), Math.max(peer.confirmed, confirmed)));
  }
}
