package org.waxwingcourse.peer;

import org.waxwingcourse.model.id.HostId;

/** Receives the messages of one channel. Called from a network thread; must not block. */
@FunctionalInterface
public interface PeerHandler {
  /** A message has arrived. */
  void onMessage(HostId from, byte[] payload);
}
