package org.waxwingcourse.policy.rate;

import org.waxwingcourse.model.id.HostId;

/** Sends messages about tokens to other hosts; they may be lost, doubled or late. */
@FunctionalInterface
public interface RatePort {
  /** Sends a message. Never blocks. */
  void send(HostId to, RateMessage message);
}
