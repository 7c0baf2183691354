package org.waxwingcourse.policy.member;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.member.GossipMessage.Probe;
import org.waxwingcourse.policy.member.GossipMessage.SyncAnswer;
import org.waxwingcourse.policy.member.GossipMessage.SyncRequest;

/**
 * Anti-entropy: periodically compares digests with a random member and exchanges the members if
 * they differ. Dead hosts and hosts that are known only from the platform's list are contacted as
 * well, so that the sides of a partition merge again and a starting host finds the fleet.
 */
final class AntiEntropy {
  private static final int DISPUTED_PROBES_PER_TICK = 4;
  private static final long NO_SEQUENCE = 0;
  private static final int CONTACTS_WHILE_ISOLATED = 3;

  private final MemberTable table;
  private final Outbox outbox;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final Map<HostId, Seed> seeds = new LinkedHashMap<>();
  private final Set<HostId> disputed = new LinkedHashSet<>();
  private Deadline nextSync;
  private Deadline nextRejoin;

  AntiEntropy(
      MemberTable table,
      Outbox outbox,
      MembershipSettings settings,
      RandomGenerator random,
      Instant now) {
    this.table = table;
    this.outbox = outbox;
    this.settings = settings;
    this.random = random;
    this.nextSync = Deadline.at(now);
    this.nextRejoin = Deadline.at(now);
  }

  /** Replaces the hosts of the platform's list. */
  void setSeeds(Collection<Seed> listed) {
    seeds.clear();
    listed.forEach(s -> seeds.put(s.host(), s));
    seeds.remove(table.self().id());
  }

  Optional<Seed> findSeed(HostId host) {
    return Optional.ofNullable(seeds.get(host));
  }

  /**
   * Marks a dead host that another member reports as not dead. The host is probed directly at the
   * next tick.
   */
  void markDisputed(HostId host) {
    disputed.add(host);
  }

  /** Schedules a comparison with a random member for the next tick. */
  void syncAtNextTick(Instant now) {
    nextSync = Deadline.at(now);
  }

  void tick(Instant now) {
    if (nextSync.isPast(now)) {
      nextSync = Deadline.at(now.plus(jittered(settings.syncInterval())));
      request(table.others(MemberState.ALIVE).stream().map(Member::id).toList(), 1);
    }
    if (nextRejoin.isPast(now)) {
      rejoin(now);
    }
    List<HostId> toProbe = disputed.stream().limit(DISPUTED_PROBES_PER_TICK).toList();
    toProbe.forEach(h -> outbox.add(h, u -> new Probe(NO_SEQUENCE, u)));
    disputed.removeAll(toProbe);
  }

  private void rejoin(Instant now) {
    boolean isolated = table.others(MemberState.ALIVE).isEmpty();
    Duration interval = isolated ? settings.isolatedRejoinInterval() : settings.rejoinInterval();
    nextRejoin = Deadline.at(now.plus(jittered(interval)));
    Set<HostId> unreachable = new LinkedHashSet<>();
    table.others(MemberState.DEAD).forEach(m -> unreachable.add(m.id()));
    seeds.keySet().stream().filter(h -> table.find(h).isEmpty()).forEach(unreachable::add);
    request(List.copyOf(unreachable), isolated ? CONTACTS_WHILE_ISOLATED : 1);
  }

  /**
   * Returns a random time from half of to one and a half times the given one, so that hosts do not
   * act in lockstep.
   */
  private Duration jittered(Duration mean) {
    long half = mean.toMillis() / 2;
    return Duration.ofMillis(half + random.nextLong(2 * half));
  }

  private void request(List<HostId> hosts, int count) {
    Sample.of(hosts, count, random).forEach(this::request);
  }

  private void request(HostId host) {
    outbox.add(host, u -> new SyncRequest(table.digest(), u));
  }

  /** Responds to a request after its updates have been applied. */
  void onRequest(HostId from, SyncRequest request) {
    long own = table.digest();
    if (request.digest() != own) {
      outbox.addWithAllMembers(from, u -> new SyncAnswer(own, true, u));
    }
  }

  /**
   * Responds to an answer after its updates have been applied, if the sender requests the members
   * and the digests still differ.
   */
  void onAnswer(HostId from, SyncAnswer answer) {
    long own = table.digest();
    if (answer.answerWanted() && answer.digest() != own) {
      outbox.addWithAllMembers(from, u -> new SyncAnswer(own, false, u));
    }
  }
}
