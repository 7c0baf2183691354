package org.waxwingcourse.policy.member;

import org.waxwingcourse.model.id.HostId;

/** Sends a membership message, at most once. Never blocks. */
@FunctionalInterface
public interface GossipPort {
  /** Sends the message or loses it. */
  void send(HostId to, GossipMessage message);
}
