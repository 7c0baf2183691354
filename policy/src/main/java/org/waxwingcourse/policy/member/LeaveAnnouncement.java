package org.waxwingcourse.policy.member;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.member.GossipMessage.Probe;

/**
 * Sends the announcement that this host is leaving to every member directly until each has
 * acknowledged it or is dead. Rumours alone would not show when the last host has received it.
 */
final class LeaveAnnouncement {
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private final MemberTable table;
  private final Outbox outbox;
  private final long sequence;
  private final Set<HostId> acknowledged = new HashSet<>();
  private Deadline nextAttempt;

  LeaveAnnouncement(MemberTable table, Outbox outbox, long sequence, Instant now) {
    this.table = table;
    this.outbox = outbox;
    this.sequence = sequence;
    this.nextAttempt = Deadline.at(now);
  }

  void tick(Instant now) {
    if (!nextAttempt.isPast(now)) {
      return;
    }
    nextAttempt = Deadline.at(now.plus(RETRY_INTERVAL));
    unacknowledgedHosts().forEach(h -> outbox.add(h, u -> new Probe(sequence, u)));
  }

  void onAck(HostId from, long ackedSequence) {
    if (ackedSequence == sequence) {
      acknowledged.add(from);
    }
  }

  boolean isComplete() {
    return unacknowledgedHosts().isEmpty();
  }

  private Set<HostId> unacknowledgedHosts() {
    Set<HostId> remaining = new HashSet<>();
    for (Member m : table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)) {
      remaining.add(m.id());
    }
    remaining.removeAll(acknowledged);
    return remaining;
  }
}
