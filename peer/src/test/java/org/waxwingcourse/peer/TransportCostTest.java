package org.waxwingcourse.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;

/** Measures the bytes and the processor time per message, the latter for both ends together. */
class TransportCostTest {
  private static final int WARM_UP_MESSAGES = 20_000;
  private static final int MESSAGES = 200_000;
  private static final int MAX_IN_FLIGHT = 500;
  private static final int MAX_OVERHEAD_BYTES = 16;

  private final AtomicInteger received = new AtomicInteger();

  @Test
  void messageOverheadIsBelowSixteenBytes() {
    try (LoopbackFleet fleet = new LoopbackFleet()) {
      NettyPeers a = fleet.start(LoopbackFleet.settings(HostId.of("a")));
      NettyPeers b = fleet.start(LoopbackFleet.settings(HostId.of("b")));
      b.handle(Channel.DISPATCH, (from, payload) -> received.incrementAndGet());
      for (int size : new int[] {100, 1_000, 10_000}) {
        send(a, size, WARM_UP_MESSAGES);
        PeerStatistics before = a.statistics();
        long cpuBefore = cpuNanos();
        send(a, size, MESSAGES);
        double bytes = a.statistics().bytesSent() - before.bytesSent();
        System.out.printf(
            "transport cost: payload %5d B: %7.1f B per message, %.1f us CPU time at both ends%n",
            size, bytes / MESSAGES, (cpuNanos() - cpuBefore) / 1_000.0 / MESSAGES);
        assertThat(bytes / MESSAGES).isLessThan(size + MAX_OVERHEAD_BYTES);
        assertThat(a.statistics().dropped()).isZero();
      }
    }
  }

  private void send(NettyPeers from, int size, int count) {
    byte[] payload = new byte[size];
    for (int i = 0; i < count; i += MAX_IN_FLIGHT) {
      int target = received.get() + MAX_IN_FLIGHT;
      for (int j = 0; j < MAX_IN_FLIGHT; j++) {
        from.send(HostId.of("b"), Channel.DISPATCH, payload);
      }
      LoopbackFleet.await(() -> received.get() >= target);
    }
  }

  private static long cpuNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }
}
