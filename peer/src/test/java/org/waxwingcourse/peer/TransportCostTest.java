package org.waxwingcourse.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;

/** Bytes and processor time of a message, both ends together. */
class TransportCostTest {
  private static final int WARM_UP = 20_000;
  private static final int MESSAGES = 200_000;
  private static final int WINDOW = 500;
  private static final int MAX_OVERHEAD_BYTES = 16;

  private final AtomicInteger arrived = new AtomicInteger();

  @Test
  void overheadOfAMessageIsAFewBytes() {
    try (TestPeers fleet = new TestPeers()) {
      NettyPeers a = fleet.start(TestPeers.settings(HostId.of("a")));
      NettyPeers b = fleet.start(TestPeers.settings(HostId.of("b")));
      b.handle(Channel.DISPATCH, (from, payload) -> arrived.incrementAndGet());
      for (int size : new int[] {100, 1_000, 10_000}) {
        send(a, size, WARM_UP);
        PeerStatistics before = a.statistics();
        long cpu = cpuNanos();
        send(a, size, MESSAGES);
        double bytes = a.statistics().bytesSent() - before.bytesSent();
        System.out.printf(
            "transport cost: payload %5d B: %7.1f B a message, %.1f us of processor at both ends%n",
            size, bytes / MESSAGES, (cpuNanos() - cpu) / 1_000.0 / MESSAGES);
        assertThat(bytes / MESSAGES).isLessThan(size + MAX_OVERHEAD_BYTES);
        assertThat(a.statistics().dropped()).isZero();
      }
    }
  }

  private void send(NettyPeers from, int size, int count) {
    byte[] payload = new byte[size];
    for (int i = 0; i < count; i += WINDOW) {
      int target = arrived.get() + WINDOW;
      for (int j = 0; j < WINDOW; j++) {
        from.send(HostId.of("b"), Channel.DISPATCH, payload);
      }
      TestPeers.await(() -> arrived.get() >= target);
    }
  }

  private static long cpuNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }
}
