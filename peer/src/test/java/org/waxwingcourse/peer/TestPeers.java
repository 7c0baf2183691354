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

/** Transports on loopback whose hosts find each other in one table. */
final class TestPeers implements AutoCloseable {
  static final FleetSecret SECRET = FleetSecret.of("a secret of the test fleet");
  static final Duration INTERVAL = Duration.ofMillis(50);
  static final Duration SILENCE = Duration.ofMillis(500);
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final MonotonicClock CLOCK = MonotonicClock.start();

  final Map<HostId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final List<NettyPeers> started = new CopyOnWriteArrayList<>();

  static PeerSettings settings(HostId self) {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return PeerSettings.of(self, any, SECRET).withHeartbeat(INTERVAL, SILENCE);
  }

  NettyPeers start(PeerSettings settings) {
    NettyPeers peers =
        NettyPeers.of(settings, h -> Option.of(addresses.get(h)), CLOCK, new SecureRandom());
    peers.start();
    addresses.put(settings.self(), peers.address());
    started.add(peers);
    return peers;
  }

  /** Collects the numbers that arrive on a channel. */
  static List<Integer> collect(NettyPeers peers) {
    List<Integer> numbers = new CopyOnWriteArrayList<>();
    peers.handle(Channel.RATE, (from, payload) -> numbers.add(ByteBuffer.wrap(payload).getInt()));
    return numbers;
  }

  static void send(NettyPeers from, HostId to, int number) {
    from.send(to, Channel.RATE, ByteBuffer.allocate(Integer.BYTES).putInt(number).array());
  }

  static void await(BooleanSupplier condition) {
    Deadline deadline = Deadline.after(CLOCK, PATIENCE);
    while (!condition.getAsBoolean() && !deadline.isPast(CLOCK.instant())) {
      LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Override
  public void close() {
    started.forEach(NettyPeers::stop);
  }
}
