package org.waxwingcourse.peer;

import org.waxwingcourse.model.id.HostId;

/**
 * Sends messages to other hosts, at most once each and in order for one pair of hosts and one
 * connection. A message to a host that cannot be reached is lost; what must arrive is acknowledged
 * by its own subsystem.
 */
public interface Peers {
  /** Sends a message. Never blocks. */
  void send(HostId to, Channel channel, byte[] payload);

  /** Names the handler of a channel; there is one for each. */
  void handle(Channel channel, PeerHandler handler);
}
