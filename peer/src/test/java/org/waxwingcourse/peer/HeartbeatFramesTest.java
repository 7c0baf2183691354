package org.waxwingcourse.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;

/**
 * Two hosts that exchange messages must not pay for heartbeats in frames of their own, and a
 * heartbeat whose answer is lost with a message must not make its connection silent.
 */
class HeartbeatFramesTest {
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");
  private static final int ROUNDS = 20;

  /** Between two rounds, so that a heartbeat is due in each. */
  private static final Duration PAUSE = LoopbackFleet.HEARTBEAT_INTERVAL.multipliedBy(2);

  private final LoopbackFleet fleet = new LoopbackFleet();

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void messageAndReplyCostThreeFramesWithTheirHeartbeats() {
    NettyPeerTransport a = fleet.start(LoopbackFleet.settings(A));
    NettyPeerTransport b = fleet.start(LoopbackFleet.settings(B));
    List<Integer> replies = LoopbackFleet.collectNumbers(a);
    b.setHandler(PeerChannel.RATE, (from, payload) -> b.send(from, PeerChannel.RATE, payload));
    exchange(a, replies, 1);
    long before = a.statistics().framesSent() + b.statistics().framesSent();
    exchange(a, replies, ROUNDS);
    long frames = a.statistics().framesSent() + b.statistics().framesSent() - before;
    // The message, the reply and the answer to the heartbeat of the reply. With heartbeats in
    // frames
    // of their own there are six. Some heartbeats are repeated on a slow machine.
    assertThat(frames).isLessThan(4L * ROUNDS);
    assertThat(a.statistics().silentConnections() + b.statistics().silentConnections()).isZero();
  }

  private static void exchange(NettyPeerTransport from, List<Integer> replies, int rounds) {
    for (int i = 0; i < rounds; i++) {
      int awaited = replies.size() + 1;
      LoopbackFleet.sendNumber(from, B, i);
      LoopbackFleet.await(() -> replies.size() >= awaited);
      LockSupport.parkNanos(PAUSE.toNanos());
    }
  }

  @Test
  void heartbeatOfMessagesWithoutReplyIsAnsweredAtOnce() {
    NettyPeerTransport a = fleet.start(LoopbackFleet.settings(A));
    NettyPeerTransport b = fleet.start(LoopbackFleet.settings(B));
    List<Integer> received = LoopbackFleet.collectNumbers(b);
    for (int i = 0; i < ROUNDS; i++) {
      LoopbackFleet.sendNumber(a, B, i);
      LockSupport.parkNanos(PAUSE.toNanos());
    }
    LoopbackFleet.await(() -> received.size() == ROUNDS);
    assertThat(a.statistics().silentConnections()).isZero();
    assertThat(a.statistics().framesReceived()).isPositive();
  }

  @Test
  void heartbeatWithoutAnswerIsRepeatedOnceBeforeTheConnectionCountsAsSilent() {
    Instant start = Instant.ofEpochSecond(1000);
    HeartbeatMonitor monitor = new HeartbeatMonitor(LoopbackFleet.settings(A), 7, start);
    OptionalLong first = monitor.onSend(start.plusMillis(1));
    assertThat(first).hasValue(8);
    List<Long> repeatedAfter = new ArrayList<>();
    Instant now = start;
    while (!monitor.isSilent(now)) {
      now = now.plusMillis(10);
      if (monitor.pollRepetition(now).isPresent()) {
        repeatedAfter.add(Duration.between(start, now).toMillis());
      }
    }
    assertThat(repeatedAfter).hasSize(1);
    assertThat(repeatedAfter.get(0)).isLessThan(LoopbackFleet.SILENCE_TIMEOUT.toMillis() / 2);
    monitor.onAnswer(first.getAsLong());
    assertThat(monitor.isSilent(now)).isFalse();
    assertThat(monitor.pollRepetition(now)).isEmpty();
  }
}
