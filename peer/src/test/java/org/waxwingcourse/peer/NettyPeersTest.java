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

  private final TestPeers fleet = new TestPeers();

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void messagesArriveOnceAndInOrder() {
    NettyPeers a = fleet.start(TestPeers.settings(A));
    List<Integer> atB = TestPeers.collect(fleet.start(TestPeers.settings(B)));
    List<Integer> sent = IntStream.range(0, 5_000).boxed().toList();
    sent.forEach(n -> TestPeers.send(a, B, n));
    TestPeers.await(() -> atB.size() >= sent.size());
    assertThat(atB).isEqualTo(sent);
  }

  @Test
  void messagesToOneselfArriveInOrder() {
    NettyPeers a = fleet.start(TestPeers.settings(A));
    List<Integer> atA = TestPeers.collect(a);
    List<Integer> sent = IntStream.range(0, 20_000).boxed().toList();
    sent.forEach(n -> TestPeers.send(a, A, n));
    TestPeers.await(() -> atA.size() == sent.size());
    assertThat(atA).isEqualTo(sent);
  }

  @Test
  void silentConnectionIsReplacedAndNothingIsDoubled() throws IOException {
    NettyPeers watched = fleet.start(TestPeers.settings(A));
    PeerSettings patient =
        TestPeers.settings(HostId.of("c")).withHeartbeat(TestPeers.INTERVAL, Duration.ofHours(1));
    NettyPeers unwatched = fleet.start(patient);
    NettyPeers b = fleet.start(TestPeers.settings(B));
    List<Integer> atB = TestPeers.collect(b);
    try (FaultProxy proxy = new FaultProxy(b.address())) {
      fleet.addresses.put(B, proxy.address());
      TestPeers.send(watched, B, 0);
      TestPeers.send(unwatched, B, 1);
      TestPeers.await(() -> atB.size() == 2);
      proxy.silence();
      int[] next = {2};
      TestPeers.await(
          () -> {
            TestPeers.send(watched, B, next[0]);
            TestPeers.send(unwatched, B, -next[0]++);
            return atB.stream().anyMatch(n -> n > 1);
          });
      assertThat(atB).doesNotHaveDuplicates().noneMatch(n -> n < 0);
      assertThat(watched.statistics().silences()).isEqualTo(1);
    }
  }

  @Test
  void restartedHostIsReachedAtItsNewAddress() {
    NettyPeers a = fleet.start(TestPeers.settings(A));
    NettyPeers before = fleet.start(TestPeers.settings(B));
    List<Integer> first = TestPeers.collect(before);
    TestPeers.send(a, B, 1);
    TestPeers.await(() -> first.size() == 1);
    before.stop();
    List<Integer> second = TestPeers.collect(fleet.start(TestPeers.settings(B)));
    int[] next = {2};
    TestPeers.await(
        () -> {
          TestPeers.send(a, B, next[0]++);
          return !second.isEmpty();
        });
    assertThat(first).containsExactly(1);
  }

  @Test
  void backlogTowardsAHostThatTakesNothingIsBounded() throws IOException {
    int limit = 1 << 20;
    NettyPeers a = fleet.start(TestPeers.settings(A).withSizes(limit, 2 * limit));
    try (java.net.ServerSocket deaf = new java.net.ServerSocket(0)) {
      fleet.addresses.put(
          B,
          new java.net.InetSocketAddress(
              java.net.InetAddress.getLoopbackAddress(), deaf.getLocalPort()));
      byte[] payload = new byte[limit / 4];
      for (int i = 0; i < 100; i++) {
        a.send(B, Channel.BATCH, payload);
      }
      assertThat(a.statistics().dropped()).isGreaterThanOrEqualTo(92);
    }
  }
}
