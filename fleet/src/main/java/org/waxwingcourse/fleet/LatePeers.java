package org.waxwingcourse.fleet;

import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.PeerHandler;
import org.waxwingcourse.peer.Peers;

/** Peers that come up after the parts that use them; until then every message is lost. */
final class LatePeers implements Peers {
  private volatile Peers peers;

  void open(Peers opened) {
    peers = opened;
  }

  @Override
  public void send(HostId to, Channel channel, byte[] payload) {
    Peers open = peers;
    if (open != null) {
      open.send(to, channel, payload);
    }
  }

  @Override
  public void handle(Channel channel, PeerHandler handler) {
    throw new IllegalStateException("handlers are named on the peers themselves");
  }
}
