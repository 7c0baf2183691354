package org.waxwingcourse.peer;

import org.waxwingcourse.model.id.HostId;

/**
 * Sends messages to other hosts. Delivery is at most once, and in order within one connection
 * between two hosts. A message to a host that cannot be reached is lost; a subsystem that needs
 * reliable delivery acknowledges its messages itself.
 */
public interface Peers {
  /** Sends a message to a host without blocking. */
  void send(HostId to, Channel channel, byte[] payload);

  /** Sets the handler of a channel, replacing the previous one. */
  void handle(Channel channel, PeerHandler handler);
}
