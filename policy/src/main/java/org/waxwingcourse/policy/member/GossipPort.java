package org.waxwingcourse.policy.member;

import org.waxwingcourse.model.id.HostId;

/** Sends membership messages with at-most-once delivery. Never blocks. */
@FunctionalInterface
public interface GossipPort {
  /** Sends a message, which may be lost. */
  void send(HostId to, GossipMessage message);
}
