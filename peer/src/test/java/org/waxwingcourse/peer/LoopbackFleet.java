package org.waxwingcourse.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;

/** A fleet of transports on the loopback interface that share one address table. */
final class LoopbackFleet implements AutoCloseable {
  static final FleetSecret SECRET = FleetSecret.of("a secret of the test fleet");
  static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(50);
  static final Duration SILENCE_TIMEOUT = Duration.ofMillis(500);
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);
  private static final MonotonicClock CLOCK = MonotonicClock.start();

  final Map<HostId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final List<NettyPeers> transports = new CopyOnWriteArrayList<>();

  static PeerSettings settings(HostId self) {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return PeerSettings.of(self, any, SECRET).withHeartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
  }

  NettyPeers start(PeerSettings settings) {
    NettyPeers peers =
        NettyPeers.of(settings, h -> Option.of(addresses.get(h)), CLOCK, new SecureRandom());
    peers.start();
    addresses.put(settings.self(), peers.address());
    transports.add(peers);
    return peers;
  }

  /** Returns a list to which each number received on {@link Channel#RATE} is added. */
  static List<Integer> collectNumbers(NettyPeers peers) {
    List<Integer> numbers = new CopyOnWriteArrayList<>();
    peers.handle(Channel.RATE, (from, payload) -> numbers.add(ByteBuffer.wrap(payload).getInt()));
    return numbers;
  }

  static void sendNumber(NettyPeers from, HostId to, int number) {
    from.send(to, Channel.RATE, ByteBuffer.allocate(Integer.BYTES).putInt(number).array());
  }

  static void await(BooleanSupplier condition) {
    Deadline deadline = Deadline.after(CLOCK, AWAIT_TIMEOUT);
    while (!condition.getAsBoolean() && !deadline.isPast(CLOCK.instant())) {
      LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Override
  public void close() {
    transports.forEach(NettyPeers::stop);
  }
}
