package org.waxwingcourse.policy.member;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.member.GossipMessage.Ack;
import org.waxwingcourse.policy.member.GossipMessage.IndirectProbe;
import org.waxwingcourse.policy.member.GossipMessage.Probe;

/**
 * Probes one member an interval, in a random order that reaches each once before any twice. A probe
 * that is not acknowledged in time is repeated through others; one that stays without
 * acknowledgement for the whole interval raises a suspicion.
 */
final class FailureDetector {
  private static final int MAX_RELAYS = 1024;

  private record Outstanding(HostId target, long sequence, Deadline indirectAt, Deadline failAt) {}

  private record Relay(HostId asker, long sequence, Deadline until) {}

  private final MemberTable table;
  private final Outbox outbox;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final Deque<HostId> order = new ArrayDeque<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private Outstanding outstanding;
  private boolean indirect;
  private Deadline nextProbe;
  private long sequence;

  FailureDetector(
      MemberTable table,
      Outbox outbox,
      MembershipSettings settings,
      RandomGenerator random,
      Instant now) {
    this.table = table;
    this.outbox = outbox;
    this.settings = settings;
    this.random = random;
    this.sequence = random.nextInt(Integer.MAX_VALUE);
    this.nextProbe = Deadline.at(now.plusMillis(jitter()));
  }

  private long jitter() {
    return random.nextLong(settings.probeInterval().toMillis());
  }

  long nextSequence() {
    sequence++;
    return sequence;
  }

  /** Forgets the probe underway: its time passed while this host stood still. */
  void paused(Instant now) {
    outstanding = null;
    nextProbe = Deadline.at(now);
  }

  /** Takes the steps that are due and returns the hosts that have failed to answer. */
  List<HostId> tick(Instant now) {
    relays.values().removeIf(r -> r.until().isPast(now));
    List<HostId> failed = new ArrayList<>();
    if (outstanding != null && outstanding.failAt().isPast(now)) {
      failed.add(outstanding.target());
      outstanding = null;
    }
    if (outstanding != null && !indirect && outstanding.indirectAt().isPast(now)) {
      askOthers();
    }
    if (outstanding == null && nextProbe.isPast(now)) {
      probeNext(now);
    }
    return failed;
  }

  private void probeNext(Instant now) {
    nextProbe = Deadline.at(now.plus(settings.probeInterval()));
    HostId target = nextTarget();
    if (target == null) {
      return;
    }
    outstanding =
        new Outstanding(
            target,
            nextSequence(),
            Deadline.at(now.plus(settings.probeTimeout())),
            Deadline.at(now.plus(settings.probeInterval())));
    indirect = false;
    outbox.add(target, u -> new Probe(outstanding.sequence(), u));
  }

  private HostId nextTarget() {
    if (order.isEmpty()) {
      List<HostId> hosts = others().stream().map(Member::id).toList();
      order.addAll(Sample.of(hosts, hosts.size(), random));
    }
    while (!order.isEmpty()) {
      HostId next = order.poll();
      if (table.find(next).filter(m -> m.state() != MemberState.DEAD).isPresent()) {
        return next;
      }
    }
    return null;
  }

  private List<Member> others() {
    return table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING);
  }

  private void askOthers() {
    indirect = true;
    HostId target = outstanding.target();
    long asked = outstanding.sequence();
    List<Member> helpers = table.others(MemberState.ALIVE);
    helpers.removeIf(m -> m.id().equals(target));
    for (Member m : Sample.of(helpers, settings.indirectProbes(), random)) {
      outbox.add(m.id(), u -> new IndirectProbe(asked, target, u));
    }
    outbox.add(target, u -> new Probe(asked, u));
  }

  /** Probes for another host. */
  void relay(HostId asker, IndirectProbe request, Instant now) {
    if (relays.size() >= MAX_RELAYS) {
      return;
    }
    long mine = nextSequence();
    Deadline until = Deadline.at(now.plus(settings.probeInterval()));
    relays.put(mine, new Relay(asker, request.sequence(), until));
    outbox.add(request.target(), u -> new Probe(mine, u));
  }

  /** Records an acknowledgement, or passes it on to the host that asked for it. */
  void acknowledged(long answered) {
    if (outstanding != null && outstanding.sequence() == answered) {
      outstanding = null;
    }
    Relay relay = relays.remove(answered);
    if (relay != null) {
      outbox.add(relay.asker(), u -> new Ack(relay.sequence(), u));
    }
  }
}
