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

/** Hosts in one process over a network that loses, doubles, delays and cuts by a seed. */
final class FakeFleet {
  static final Duration STEP = Duration.ofMillis(100);
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private record Packet(long at, long order, HostId from, HostId to, byte[] bytes) {}

  final ManualClock clock = ManualClock.at(START);
  final Map<HostId, Swim> hosts = new HashMap<>();
  final List<HostId> names = new ArrayList<>();
  double loss;
  double doubling;
  int maxDelayMillis = 5;
  BiPredicate<HostId, HostId> cut = (from, to) -> false;
  long messages;
  long bytes;
  private final List<HostId> paused = new ArrayList<>();
  private final PriorityQueue<Packet> packets =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final MembershipSettings settings;
  private final Random random;
  private long order;

  FakeFleet(int count, long seed, MembershipSettings settings) {
    this.settings = settings;
    this.random = new Random(seed);
    for (int i = 0; i < count; i++) {
      names.add(HostId.of("host-" + i));
      start(names.get(i));
    }
  }

  static FakeFleet converged(int count, long seed) {
    FakeFleet fleet = new FakeFleet(count, seed, MembershipSettings.DEFAULT);
    fleet.runUntil(Duration.ofMinutes(2), () -> fleet.allSee(MemberState.ALIVE, count));
    fleet.run(Duration.ofSeconds(30));
    return fleet;
  }

  /** Starts a host, or starts it again with nothing in memory. */
  void start(HostId host) {
    int number = names.indexOf(host);
    URI callers = URI.create("http://10.0." + number / 250 + "." + number % 250 + ":8080");
    MemberLocation location =
        new MemberLocation(DataCentreId.of("dc-" + number % 8), callers, address(host));
    Random own = new Random(random.nextLong());
    Swim swim = Swim.of(host, location, settings, clock, own, (to, m) -> send(host, to, m));
    hosts.put(host, swim);
    swim.seed(names.stream().map(h -> new Seed(h, address(h))).toList());
  }

  private static InetSocketAddress address(HostId host) {
    return InetSocketAddress.createUnresolved("10.0.0.1", 7000);
  }

  void kill(HostId host) {
    hosts.remove(host);
  }

  /** The host takes no steps and reads no messages; they wait. */
  void pause(HostId host) {
    paused.add(host);
  }

  void resume(HostId host) {
    paused.remove(host);
  }

  private void send(HostId from, HostId to, GossipMessage message) {
    byte[] encoded = GossipCodec.encode(message);
    messages++;
    bytes += encoded.length;
    if (cut.test(from, to) || random.nextDouble() < loss) {
      return;
    }
    enqueue(from, to, encoded);
    if (random.nextDouble() < doubling) {
      enqueue(from, to, encoded);
    }
  }

  private void enqueue(HostId from, HostId to, byte[] encoded) {
    long at = clock.instant().toEpochMilli() + 1 + random.nextInt(maxDelayMillis);
    packets.add(new Packet(at, order++, from, to, encoded));
  }

  void run(Duration time) {
    for (long left = time.toMillis(); left > 0; left -= STEP.toMillis()) {
      step();
    }
  }

  /** Runs until the condition holds and returns how long it took, or the limit. */
  Duration runUntil(Duration limit, BooleanSupplier condition) {
    Instant begin = clock.instant();
    while (!condition.getAsBoolean()
        && Duration.between(begin, clock.instant()).compareTo(limit) < 0) {
      step();
    }
    return Duration.between(begin, clock.instant());
  }

  private void step() {
    for (HostId h : names) {
      if (hosts.containsKey(h) && !paused.contains(h)) {
        hosts.get(h).tick();
      }
    }
    long end = clock.instant().plus(STEP).toEpochMilli();
    List<Packet> held = new ArrayList<>();
    while (!packets.isEmpty() && packets.peek().at < end) {
      Packet p = packets.poll();
      clock.advance(Duration.ofMillis(Math.max(0, p.at - clock.instant().toEpochMilli())));
      if (paused.contains(p.to)) {
        held.add(new Packet(end, p.order, p.from, p.to, p.bytes));
      } else if (hosts.containsKey(p.to)) {
        hosts.get(p.to).onMessage(p.from, GossipCodec.decode(p.bytes).get());
      }
    }
    packets.addAll(held);
    clock.advance(Duration.ofMillis(end - clock.instant().toEpochMilli()));
  }

  /** Tells whether every running host holds {@code count} hosts for this state. */
  boolean allSee(MemberState state, int count) {
    return hosts.values().stream().allMatch(s -> count(s, state) == count);
  }

  /** Tells whether every other running host holds the host for this state; dead if forgotten. */
  boolean allSee(HostId host, MemberState state) {
    return hosts.entrySet().stream()
        .filter(e -> !e.getKey().equals(host))
        .allMatch(e -> stateOf(e.getValue(), host) == state);
  }

  static MemberState stateOf(Swim view, HostId host) {
    return view.find(host).map(Member::state).orElse(MemberState.DEAD);
  }

  private static long count(Swim swim, MemberState state) {
    return swim.members().stream().filter(m -> m.state() == state).count();
  }
}
