package org.waxwingcourse.peer;

import org.waxwingcourse.model.id.HostId;

/** Receives the messages of one channel. Runs on a network thread and must not block. */
@FunctionalInterface
public interface PeerHandler {
  /** Processes one message. */
  void onMessage(HostId from, byte[] payload);
}
