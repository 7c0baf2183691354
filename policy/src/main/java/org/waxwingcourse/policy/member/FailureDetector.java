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
 * Probes one member in each interval, in a random order in which every member is probed once before
 * any is probed again. A probe that is not acknowledged within the timeout is repeated through
 * other members. If no acknowledgement arrives within the interval, the target is suspected.
 */
final class FailureDetector {
  private static final int MAX_RELAYED_PROBES = 1024;

  private record PendingProbe(
      HostId target, long sequence, Deadline indirectProbeAt, Deadline failAt) {}

  private record RelayedProbe(HostId requester, long sequence, Deadline expiry) {}

  private final MemberTable table;
  private final Outbox outbox;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final Deque<HostId> probeOrder = new ArrayDeque<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private PendingProbe pendingProbe;
  private boolean indirectSent;
  private Deadline nextProbe;
  private long lastSequence;

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
    this.lastSequence = random.nextInt(Integer.MAX_VALUE);
    this.nextProbe = Deadline.at(now.plusMillis(initialDelayMillis()));
  }

  private long initialDelayMillis() {
    return random.nextLong(settings.probeInterval().toMillis());
  }

  long nextSequence() {
    lastSequence++;
    return lastSequence;
  }

  /**
   * Discards the pending probe after a pause of this process, because its time passed while no
   * acknowledgement could be received.
   */
  void onPause(Instant now) {
    pendingProbe = null;
    nextProbe = Deadline.at(now);
  }

  /**
   * Performs the actions that are due and returns the hosts that have not acknowledged their probe.
   */
  List<HostId> tick(Instant now) {
    relayedProbes.values().removeIf(r -> r.expiry().isPast(now));
    List<HostId> failed = new ArrayList<>();
    if (pendingProbe != null && pendingProbe.failAt().isPast(now)) {
      failed.add(pendingProbe.target());
      pendingProbe = null;
    }
    if (pendingProbe != null && !indirectSent && pendingProbe.indirectProbeAt().isPast(now)) {
      sendIndirectProbes();
    }
    if (pendingProbe == null && nextProbe.isPast(now)) {
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
    pendingProbe =
        new PendingProbe(
            target,
            nextSequence(),
            Deadline.at(now.plus(settings.probeTimeout())),
            Deadline.at(now.plus(settings.probeInterval())));
    indirectSent = false;
    outbox.add(target, u -> new Probe(pendingProbe.sequence(), u));
  }

  private HostId nextTarget() {
    if (probeOrder.isEmpty()) {
      List<HostId> hosts = probeCandidates().stream().map(Member::id).toList();
      probeOrder.addAll(Sample.of(hosts, hosts.size(), random));
    }
    while (!probeOrder.isEmpty()) {
      HostId next = probeOrder.poll();
      if (table.find(next).filter(m -> m.state() != MemberState.DEAD).isPresent()) {
        return next;
      }
    }
    return null;
  }

  private List<Member> probeCandidates() {
    return table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING);
  }

  private void sendIndirectProbes() {
    indirectSent = true;
    HostId target = pendingProbe.target();
    long probeSequence = pendingProbe.sequence();
    List<Member> helpers = table.others(MemberState.ALIVE);
    helpers.removeIf(m -> m.id().equals(target));
    for (Member m : Sample.of(helpers, settings.indirectProbes(), random)) {
      outbox.add(m.id(), u -> new IndirectProbe(probeSequence, target, u));
    }
    outbox.add(target, u -> new Probe(probeSequence, u));
  }

  /** Probes a host on behalf of another one. */
  void relayProbe(HostId requester, IndirectProbe request, Instant now) {
    if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
      return;
    }
    long relayedSequence = nextSequence();
    Deadline expiry = Deadline.at(now.plus(settings.probeInterval()));
    relayedProbes.put(relayedSequence, new RelayedProbe(requester, request.sequence(), expiry));
    outbox.add(request.target(), u -> new Probe(relayedSequence, u));
  }

  /** Records an acknowledgement, or forwards it to the host that requested the probe. */
  void onAck(long ackedSequence) {
    if (pendingProbe != null && pendingProbe.sequence() == ackedSequence) {
      pendingProbe = null;
    }
    RelayedProbe relayed = relayedProbes.remove(ackedSequence);
    if (relayed != null) {
      outbox.add(relayed.requester(), u -> new Ack(relayed.sequence(), u));
    }
  }
}
