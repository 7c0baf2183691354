package org.waxwingcourse.peer;

import org.waxwingcourse.model.id.HostId;

/** Passes answers to heartbeats between the connections from and to the same host. */
interface HeartbeatAnswers {
  /** Offers an answer to the next message to {@code host}; returns false if it has to go itself. */
  boolean offer(HostId host, long sequence);

  /** Takes an offered answer back; returns false if a message has taken it. */
  boolean withdraw(HostId host, long sequence);

  /** Records the answer to a heartbeat of this host that a message of {@code host} has brought. */
  void onAnswer(HostId host, long sequence);
}
