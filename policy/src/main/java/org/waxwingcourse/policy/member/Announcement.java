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
 * Tells every member in person that this host leaves, until each has acknowledged it or is dead.
 * Rumours alone would leave it open when the last host has heard.
 */
final class Announcement {
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private final MemberTable table;
  private final Outbox outbox;
  private final long sequence;
  private final Set<HostId> acknowledged = new HashSet<>();
  private Deadline nextTry;

  Announcement(MemberTable table, Outbox outbox, long sequence, Instant now) {
    this.table = table;
    this.outbox = outbox;
    this.sequence = sequence;
    this.nextTry = Deadline.at(now);
  }

  void tick(Instant now) {
    if (!nextTry.isPast(now)) {
      return;
    }
    nextTry = Deadline.at(now.plus(RETRY_INTERVAL));
    waiting().forEach(h -> outbox.add(h, u -> new Probe(sequence, u)));
  }

  void acknowledged(HostId from, long answered) {
    if (answered == sequence) {
      acknowledged.add(from);
    }
  }

  boolean complete() {
    return waiting().isEmpty();
  }

  private Set<HostId> waiting() {
    Set<HostId> waiting = new HashSet<>();
    for (Member m : table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)) {
      waiting.add(m.id());
    }
    waiting.removeAll(acknowledged);
    return waiting;
  }
}
