package org.waxwingcourse.fleet;

import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.PeerHandler;
import org.waxwingcourse.peer.Peers;

/**
 * Peers that are connected after the components that use them have been created; messages sent
 * before are lost.
 */
final class DeferredPeers implements Peers {
  private volatile Peers peers;

  void connect(Peers connectedPeers) {
    peers = connectedPeers;
  }

  @Override
  public void send(HostId to, Channel channel, byte[] payload) {
    Peers connected = peers;
    if (connected != null) {
      connected.send(to, channel, payload);
    }
  }

  @Override
  public void handle(Channel channel, PeerHandler handler) {
    throw new IllegalStateException("handlers must be registered on the connected peers");
  }
}
