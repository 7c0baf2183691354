package org.waxwingcourse.policy.rate;

import org.waxwingcourse.model.id.HostId;

/** Sends token messages to other hosts. Messages may be lost, duplicated or delayed. */
@FunctionalInterface
public interface RatePort {
  /** Sends a message without blocking. */
  void send(HostId to, RateMessage message);
}
