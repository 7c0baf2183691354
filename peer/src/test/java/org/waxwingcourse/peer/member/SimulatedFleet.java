package org.waxwingcourse.peer.member;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.policy.member.GossipMessage;
import org.waxwingcourse.policy.member.MemberLocation;
import org.waxwingcourse.policy.member.MembershipSettings;
import org.waxwingcourse.policy.member.Seed;
import org.waxwingcourse.policy.member.Swim;

/**
 * A fleet that runs in one process over a simulated network. The network drops, duplicates, delays
 * and blocks messages as a seeded random generator decides.
 */
final class SimulatedFleet {
  static final Duration STEP = Duration.ofMillis(100);
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private record Packet(long at, long order, HostId from, HostId to, byte[] bytes) {}

  final ManualClock clock = ManualClock.at(START);
  final Map<HostId, Swim> hosts = new HashMap<>();
  final List<HostId> hostIds = new ArrayList<>();
  double lossProbability;
  double duplicationProbability;
  int maxDelayMillis = 5;
  BiPredicate<HostId, HostId> blocked = (from, to) -> false;
  long messagesSent;
  long bytesSent;
  private final List<HostId> paused = new ArrayList<>();
  private final PriorityQueue<Packet> packets =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final MembershipSettings settings;
  private final Random random;
  private long order;

  SimulatedFleet(int count, long seed, MembershipSettings settings) {
    this.settings = settings;
    this.random = new Random(seed);
    for (int i = 0; i < count; i++) {
      hostIds.add(HostId.of("host-" + i));
      start(hostIds.get(i));
    }
  }

  /**
   * Returns a fleet that ran until every host saw all hosts alive, for at most 2 minutes, and then
   * for 30 more seconds.
   */
  static SimulatedFleet converged(int count, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(count, seed, MembershipSettings.DEFAULT);
    fleet.runUntil(Duration.ofMinutes(2), () -> fleet.allSee(MemberState.ALIVE, count));
    fleet.runFor(Duration.ofSeconds(30));
    return fleet;
  }

  /** Starts a host, or restarts it without its earlier state. */
  void start(HostId host) {
    int number = hostIds.indexOf(host);
    URI callerAddress = URI.create("http://10.0." + number / 250 + "." + number % 250 + ":8080");
    MemberLocation location =
        new MemberLocation(DataCentreId.of("dc-" + number % 8), callerAddress, address(host));
    Random hostRandom = new Random(random.nextLong());
    Swim swim = Swim.of(host, location, settings, clock, hostRandom, (to, m) -> send(host, to, m));
    hosts.put(host, swim);
    swim.seed(hostIds.stream().map(h -> new Seed(h, address(h))).toList());
  }

  private static InetSocketAddress address(HostId host) {
    return InetSocketAddress.createUnresolved("10.0.0.1", 7000);
  }

  /** Removes a host without notice to the others. */
  void terminate(HostId host) {
    hosts.remove(host);
  }

  /** Pauses a host: it neither ticks nor reads messages, which wait until it resumes. */
  void pause(HostId host) {
    paused.add(host);
  }

  void resume(HostId host) {
    paused.remove(host);
  }

  private void send(HostId from, HostId to, GossipMessage message) {
    byte[] encoded = GossipCodec.encode(message);
    messagesSent++;
    bytesSent += encoded.length;
    if (blocked.test(from, to) || random.nextDouble() < lossProbability) {
      return;
    }
    enqueue(from, to, encoded);
    if (random.nextDouble() < duplicationProbability) {
      enqueue(from, to, encoded);
    }
  }

  private void enqueue(HostId from, HostId to, byte[] encoded) {
    long at = clock.instant().toEpochMilli() + 1 + random.nextInt(maxDelayMillis);
    packets.add(new Packet(at, order++, from, to, encoded));
  }

  void runFor(Duration duration) {
    for (long left = duration.toMillis(); left > 0; left -= STEP.toMillis()) {
      step();
    }
  }

  /**
   * Runs until the condition holds or the limit is reached and returns the simulated time taken.
   */
  Duration runUntil(Duration limit, BooleanSupplier condition) {
    Instant begin = clock.instant();
    while (!condition.getAsBoolean()
        && Duration.between(begin, clock.instant()).compareTo(limit) < 0) {
      step();
    }
    return Duration.between(begin, clock.instant());
  }

  private void step() {
    for (HostId h : hostIds) {
      if (hosts.containsKey(h) && !paused.contains(h)) {
        hosts.get(h).tick();
      }
    }
    long end = clock.instant().plus(STEP).toEpochMilli();
    List<Packet> undelivered = new ArrayList<>();
    while (!packets.isEmpty() && packets.peek().at < end) {
      Packet p = packets.poll();
      clock.advance(Duration.ofMillis(Math.max(0, p.at - clock.instant().toEpochMilli())));
      if (paused.contains(p.to)) {
        undelivered.add(new Packet(end, p.order, p.from, p.to, p.bytes));
      } else if (hosts.containsKey(p.to)) {
        hosts.get(p.to).onMessage(p.from, GossipCodec.decode(p.bytes).get());
      }
    }
    packets.addAll(undelivered);
    clock.advance(Duration.ofMillis(end - clock.instant().toEpochMilli()));
  }

  /** Returns whether every running host sees exactly {@code count} hosts in this state. */
  boolean allSee(MemberState state, int count) {
    return hosts.values().stream().allMatch(s -> count(s, state) == count);
  }

  /**
   * Returns whether every other running host sees the host in this state. A forgotten host counts
   * as dead.
   */
  boolean allSee(HostId host, MemberState state) {
    return hosts.entrySet().stream()
        .filter(e -> !e.getKey().equals(host))
        .allMatch(e -> stateOf(e.getValue(), host) == state);
  }

  static MemberState stateOf(Swim membership, HostId host) {
    return membership.find(host).map(Member::state).orElse(MemberState.DEAD);
  }

  private static long count(Swim swim, MemberState state) {
    return swim.members().stream().filter(m -> m.state() == state).count();
  }
}
