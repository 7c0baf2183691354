package org.waxwingcourse.fleet;

import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerHandler;
import org.waxwingcourse.peer.PeerTransport;

/**
 * Peers that are connected after the components that use them have been created; messages sent
 * before are lost.
 */
final class DeferredPeers implements PeerTransport {
  private volatile PeerTransport peers;

  void connect(PeerTransport connectedPeers) {
    peers = connectedPeers;
  }

  @Override
  public void send(HostId to, PeerChannel channel, byte[] payload) {
    PeerTransport connected = peers;
    if (connected != null) {
      connected.send(to, channel, payload);
    }
  }

  @Override
  public void setHandler(PeerChannel channel, PeerHandler handler) {
    throw new IllegalStateException("handlers must be registered on the connected peers");
  }
}
