package org.waxwingcourse.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.standin.link.FaultProxy;
import org.waxwingcourse.wire.Hello;

/** Connections that do not belong to the fleet are cut before a frame of theirs is taken. */
class StrangerTest {
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");
  private static final int TIMEOUT_MILLIS = 30_000;

  private final TestPeers fleet = new TestPeers();

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void wrongSecretIsCutAtBothEnds() {
    PeerSettings own = TestPeers.settings(A);
    PeerSettings other =
        PeerSettings.of(A, own.listen(), FleetSecret.of("the secret of another fleet"));
    NettyPeers stranger = fleet.start(other);
    NettyPeers b = fleet.start(TestPeers.settings(B));
    List<Integer> atB = TestPeers.collect(b);
    TestPeers.send(stranger, B, 1);
    TestPeers.await(() -> b.statistics().refused() > 0);
    List<Integer> atStranger = TestPeers.collect(stranger);
    TestPeers.send(b, A, 2);
    TestPeers.await(() -> stranger.statistics().refused() > 0);
    assertThat(atB).isEmpty();
    assertThat(atStranger).isEmpty();
  }

  @Test
  void replayedConnectionIsCut() throws IOException {
    NettyPeers a = fleet.start(TestPeers.settings(A));
    NettyPeers b = fleet.start(TestPeers.settings(B));
    List<Integer> atB = TestPeers.collect(b);
    try (FaultProxy proxy = new FaultProxy(b.address())) {
      fleet.addresses.put(B, proxy.address());
      TestPeers.send(a, B, 7);
      TestPeers.await(() -> atB.size() == 1);
      assertThat(answersUntilCut(b.address(), proxy.recorded())).isEqualTo(1);
    }
    assertThat(atB).containsExactly(7);
    TestPeers.await(() -> b.statistics().refused() == 1);
  }

  @Test
  void ownProofSentBackIsCut() throws IOException {
    NettyPeers b = fleet.start(TestPeers.settings(B));
    List<Integer> atB = TestPeers.collect(b);
    try (Socket socket = connect(b.address())) {
      Hello opening = Hello.newBuilder().setVersion(1).setHost("b").setChallenge(zeros()).build();
      socket.getOutputStream().write(bytes(Frames.encode(opening)));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] answer = new byte[in.readInt()];
      in.readFully(answer);
      socket.getOutputStream().write(bytes(Frames.encode(Hello.parseFrom(answer))));
      socket.getOutputStream().write(bytes(Frames.encode(Channel.RATE.number(), new byte[4])));
      assertThat(in.read()).isEqualTo(-1);
    }
    assertThat(atB).isEmpty();
  }

  @Test
  void frameWithoutProofAndOversizeGreetingAreCut() throws IOException {
    NettyPeers b = fleet.start(TestPeers.settings(B));
    List<Integer> atB = TestPeers.collect(b);
    byte[] early = bytes(Frames.encode(Channel.RATE.number(), new byte[4]));
    assertThat(answersUntilCut(b.address(), early)).isZero();
    byte[] oversize = {0, 16, 0, 0, 1, 2, 3};
    assertThat(answersUntilCut(b.address(), oversize)).isZero();
    assertThat(atB).isEmpty();
  }

  /** Returns how many frames come back before the other end closes. */
  private static int answersUntilCut(InetSocketAddress to, byte[] sent) throws IOException {
    try (Socket socket = connect(to)) {
      socket.getOutputStream().write(sent);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      int answers = 0;
      for (int length = length(in); length >= 0; length = length(in)) {
        in.readNBytes(length);
        answers++;
      }
      return answers;
    }
  }

  private static int length(DataInputStream in) {
    try {
      return in.readInt();
    } catch (java.net.SocketTimeoutException e) {
      throw new AssertionError("the connection was not cut", e);
    } catch (IOException e) {
      return -1;
    }
  }

  private static Socket connect(InetSocketAddress to) throws IOException {
    Socket socket = new Socket(to.getAddress(), to.getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static ByteString zeros() {
    return ByteString.copyFrom(new byte[32]);
  }

  private static byte[] bytes(ByteBuf frame) {
    return ByteBufUtil.getBytes(frame);
  }
}
