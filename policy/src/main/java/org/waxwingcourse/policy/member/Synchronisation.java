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
 * Anti-entropy: compares digests with a random member now and then and exchanges the members where
 * they differ. Dead and merely listed hosts are tried as well, so that the sides of a cut meet
 * again and a host finds the fleet at its start.
 */
final class Synchronisation {
  private static final int DISPUTES_PER_TICK = 4;
  private static final long NO_SEQUENCE = 0;
  private static final int ALONE_ATTEMPTS = 3;

  private final MemberTable table;
  private final Outbox outbox;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final Map<HostId, Seed> seeds = new LinkedHashMap<>();
  private final Set<HostId> disputed = new LinkedHashSet<>();
  private Deadline nextSync;
  private Deadline nextRejoin;

  Synchronisation(
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

  /** Takes the hosts that the platform lists in place of those it listed before. */
  void seed(Collection<Seed> listed) {
    seeds.clear();
    listed.forEach(s -> seeds.put(s.host(), s));
    seeds.remove(table.self().id());
  }

  Optional<Seed> seed(HostId host) {
    return Optional.ofNullable(seeds.get(host));
  }

  /** Marks a dead host that another holds for alive; it is asked itself soon. */
  void dispute(HostId host) {
    disputed.add(host);
  }

  /** Compares with somebody at once. */
  void hasten(Instant now) {
    nextSync = Deadline.at(now);
  }

  void tick(Instant now) {
    if (nextSync.isPast(now)) {
      nextSync = Deadline.at(now.plus(spread(settings.syncInterval())));
      request(table.others(MemberState.ALIVE).stream().map(Member::id).toList(), 1);
    }
    if (nextRejoin.isPast(now)) {
      rejoin(now);
    }
    List<HostId> asked = disputed.stream().limit(DISPUTES_PER_TICK).toList();
    asked.forEach(h -> outbox.add(h, u -> new Probe(NO_SEQUENCE, u)));
    disputed.removeAll(asked);
  }

  private void rejoin(Instant now) {
    boolean alone = table.others(MemberState.ALIVE).isEmpty();
    Duration wait = alone ? settings.aloneInterval() : settings.rejoinInterval();
    nextRejoin = Deadline.at(now.plus(spread(wait)));
    Set<HostId> lost = new LinkedHashSet<>();
    table.others(MemberState.DEAD).forEach(m -> lost.add(m.id()));
    seeds.keySet().stream().filter(h -> table.find(h).isEmpty()).forEach(lost::add);
    request(List.copyOf(lost), alone ? ALONE_ATTEMPTS : 1);
  }

  /** Returns a time around the given one, so that hosts do not act in step. */
  private Duration spread(Duration time) {
    long half = time.toMillis() / 2;
    return Duration.ofMillis(half + random.nextLong(2 * half));
  }

  private void request(List<HostId> hosts, int count) {
    Sample.of(hosts, count, random).forEach(this::request);
  }

  private void request(HostId host) {
    outbox.add(host, u -> new SyncRequest(table.digest(), u));
  }

  /** Answers a request whose updates have been applied. */
  void onRequest(HostId from, SyncRequest request) {
    long own = table.digest();
    if (request.digest() != own) {
      outbox.addAll(from, u -> new SyncAnswer(own, true, u));
    }
  }

  /** Answers an answer whose updates have been applied, if the other side lacks something. */
  void onAnswer(HostId from, SyncAnswer answer) {
    long own = table.digest();
    if (answer.answerWanted() && answer.digest() != own) {
      outbox.addAll(from, u -> new SyncAnswer(own, false, u));
    }
  }
}
