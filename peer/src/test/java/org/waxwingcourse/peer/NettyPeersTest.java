package org.waxwingcourse.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.standin.link.FaultProxy;

class NettyPeersTest {
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");

  private final LoopbackFleet fleet = new LoopbackFleet();

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void messagesArriveOnceAndInOrder() {
    NettyPeers a = fleet.start(LoopbackFleet.settings(A));
    List<Integer> atB = LoopbackFleet.collectNumbers(fleet.start(LoopbackFleet.settings(B)));
    List<Integer> sent = IntStream.range(0, 5_000).boxed().toList();
    sent.forEach(n -> LoopbackFleet.sendNumber(a, B, n));
    LoopbackFleet.await(() -> atB.size() >= sent.size());
    assertThat(atB).isEqualTo(sent);
  }

  @Test
  void messagesToTheSendingHostArriveInOrder() {
    NettyPeers a = fleet.start(LoopbackFleet.settings(A));
    List<Integer> atA = LoopbackFleet.collectNumbers(a);
    List<Integer> sent = IntStream.range(0, 20_000).boxed().toList();
    sent.forEach(n -> LoopbackFleet.sendNumber(a, A, n));
    LoopbackFleet.await(() -> atA.size() == sent.size());
    assertThat(atA).isEqualTo(sent);
  }

  @Test
  void silentConnectionIsReplacedWithoutDuplicates() throws IOException {
    NettyPeers withShortTimeout = fleet.start(LoopbackFleet.settings(A));
    PeerSettings longTimeout =
        LoopbackFleet.settings(HostId.of("c"))
            .withHeartbeat(LoopbackFleet.HEARTBEAT_INTERVAL, Duration.ofHours(1));
    NettyPeers withLongTimeout = fleet.start(longTimeout);
    NettyPeers b = fleet.start(LoopbackFleet.settings(B));
    List<Integer> atB = LoopbackFleet.collectNumbers(b);
    try (FaultProxy proxy = new FaultProxy(b.address())) {
      fleet.addresses.put(B, proxy.address());
      LoopbackFleet.sendNumber(withShortTimeout, B, 0);
      LoopbackFleet.sendNumber(withLongTimeout, B, 1);
      LoopbackFleet.await(() -> atB.size() == 2);
      proxy.silence();
      int[] nextNumber = {2};
      LoopbackFleet.await(
          () -> {
            LoopbackFleet.sendNumber(withShortTimeout, B, nextNumber[0]);
            LoopbackFleet.sendNumber(withLongTimeout, B, -nextNumber[0]++);
            return atB.stream().anyMatch(n -> n > 1);
          });
      assertThat(atB).doesNotHaveDuplicates().noneMatch(n -> n < 0);
      assertThat(withShortTimeout.statistics().silences()).isEqualTo(1);
    }
  }

  @Test
  void restartedHostIsReachedAtItsNewAddress() {
    NettyPeers a = fleet.start(LoopbackFleet.settings(A));
    NettyPeers firstInstance = fleet.start(LoopbackFleet.settings(B));
    List<Integer> atFirstInstance = LoopbackFleet.collectNumbers(firstInstance);
    LoopbackFleet.sendNumber(a, B, 1);
    LoopbackFleet.await(() -> atFirstInstance.size() == 1);
    firstInstance.stop();
    List<Integer> atSecondInstance =
        LoopbackFleet.collectNumbers(fleet.start(LoopbackFleet.settings(B)));
    int[] nextNumber = {2};
    LoopbackFleet.await(
        () -> {
          LoopbackFleet.sendNumber(a, B, nextNumber[0]++);
          return !atSecondInstance.isEmpty();
        });
    assertThat(atFirstInstance).containsExactly(1);
  }

  @Test
  void queueForAHostThatDoesNotReadIsBounded() throws IOException {
    int limit = 1 << 20;
    NettyPeers a = fleet.start(LoopbackFleet.settings(A).withSizeLimits(limit, 2 * limit));
    try (java.net.ServerSocket unresponsive = new java.net.ServerSocket(0)) {
      fleet.addresses.put(
          B,
          new java.net.InetSocketAddress(
              java.net.InetAddress.getLoopbackAddress(), unresponsive.getLocalPort()));
      byte[] payload = new byte[limit / 4];
      for (int i = 0; i < 100; i++) {
        a.send(B, Channel.BATCH, payload);
      }
      assertThat(a.statistics().dropped()).isGreaterThanOrEqualTo(92);
    }
  }
}
