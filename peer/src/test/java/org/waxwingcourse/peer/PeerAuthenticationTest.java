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

/**
 * Connections that do not pass the handshake are closed before any of their messages is delivered.
 */
class PeerAuthenticationTest {
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");
  private static final int TIMEOUT_MILLIS = 30_000;

  private final LoopbackFleet fleet = new LoopbackFleet();

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void connectionWithAnotherSecretIsRejectedAtBothEnds() {
    PeerSettings settings = LoopbackFleet.settings(A);
    PeerSettings otherSecret =
        PeerSettings.of(A, settings.listen(), FleetSecret.of("the secret of another fleet"));
    NettyPeers intruder = fleet.start(otherSecret);
    NettyPeers b = fleet.start(LoopbackFleet.settings(B));
    List<Integer> atB = LoopbackFleet.collectNumbers(b);
    LoopbackFleet.sendNumber(intruder, B, 1);
    LoopbackFleet.await(() -> b.statistics().refused() > 0);
    List<Integer> atIntruder = LoopbackFleet.collectNumbers(intruder);
    LoopbackFleet.sendNumber(b, A, 2);
    LoopbackFleet.await(() -> intruder.statistics().refused() > 0);
    assertThat(atB).isEmpty();
    assertThat(atIntruder).isEmpty();
  }

  @Test
  void replayedHandshakeIsRejected() throws IOException {
    NettyPeers a = fleet.start(LoopbackFleet.settings(A));
    NettyPeers b = fleet.start(LoopbackFleet.settings(B));
    List<Integer> atB = LoopbackFleet.collectNumbers(b);
    try (FaultProxy proxy = new FaultProxy(b.address())) {
      fleet.addresses.put(B, proxy.address());
      LoopbackFleet.sendNumber(a, B, 7);
      LoopbackFleet.await(() -> atB.size() == 1);
      assertThat(framesUntilClosed(b.address(), proxy.recorded())).isEqualTo(1);
    }
    assertThat(atB).containsExactly(7);
    LoopbackFleet.await(() -> b.statistics().refused() == 1);
  }

  @Test
  void reflectedProofIsRejected() throws IOException {
    NettyPeers b = fleet.start(LoopbackFleet.settings(B));
    List<Integer> atB = LoopbackFleet.collectNumbers(b);
    try (Socket socket = connect(b.address())) {
      Hello hello = Hello.newBuilder().setVersion(1).setHost("b").setChallenge(zeros()).build();
      socket.getOutputStream().write(bytes(Frames.encode(hello)));
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
  void messageBeforeHandshakeAndOversizedHelloAreRejected() throws IOException {
    NettyPeers b = fleet.start(LoopbackFleet.settings(B));
    List<Integer> atB = LoopbackFleet.collectNumbers(b);
    byte[] beforeHandshake = bytes(Frames.encode(Channel.RATE.number(), new byte[4]));
    assertThat(framesUntilClosed(b.address(), beforeHandshake)).isZero();
    byte[] oversize = {0, 16, 0, 0, 1, 2, 3};
    assertThat(framesUntilClosed(b.address(), oversize)).isZero();
    assertThat(atB).isEmpty();
  }

  /** Sends the bytes and returns how many frames are received before the other end closes. */
  private static int framesUntilClosed(InetSocketAddress to, byte[] sent) throws IOException {
    try (Socket socket = connect(to)) {
      socket.getOutputStream().write(sent);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      int frames = 0;
      for (int length = readLength(in); length >= 0; length = readLength(in)) {
        in.readNBytes(length);
        frames++;
      }
      return frames;
    }
  }

  private static int readLength(DataInputStream in) {
    try {
      return in.readInt();
    } catch (java.net.SocketTimeoutException e) {
      throw new AssertionError("the connection was not closed", e);
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
