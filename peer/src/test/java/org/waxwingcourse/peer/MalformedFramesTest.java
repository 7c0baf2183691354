package org.waxwingcourse.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.FleetSecret.Role;
import org.waxwingcourse.peer.FleetSecret.Transcript;

/**
 * Arbitrary bytes must not pass the handshake, and malformed frames must not raise an exception
 * beyond the pipeline of their connection.
 */
class MalformedFramesTest {
  private static final PeerSettings SETTINGS = LoopbackFleet.settings(HostId.of("b"));
  private static final int MAX_FRAME_BYTES = 256;

  /** As if there were no connection to the sender. */
  private static final HeartbeatAnswers NO_CONNECTION =
      new HeartbeatAnswers() {
        @Override
        public boolean offer(HostId host, long sequence) {
          return false;
        }

        @Override
        public boolean withdraw(HostId host, long sequence) {
          return true;
        }

        @Override
        public void onAnswer(HostId host, long sequence) {}
      };

  @Property(seed = "4101", tries = 300)
  void arbitraryBytesDoNotPassTheHandshake(@ForAll @Size(max = 200) byte[] bytes) {
    List<HostId> authenticated = new ArrayList<>();
    EmbeddedChannel channel =
        new EmbeddedChannel(
            Frames.decoder(Handshake.MAX_FRAME_BYTES),
            new AcceptHandshake(SETTINGS, new SecureRandom(), authenticated::add, () -> {}));
    channel.writeInbound(withLengthPrefix(bytes));
    if (channel.isOpen()) {
      channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    }
    channel.checkException();
    assertThat(authenticated).isEmpty();
    channel.finishAndReleaseAll();
  }

  @Property(seed = "4102", tries = 300)
  void malformedFrameFromAnAuthenticatedHostClosesOnlyItsConnection(
      @ForAll @Size(max = 400) byte[] bytes) {
    List<byte[]> delivered = new ArrayList<>();
    HandlerTable handlers = new HandlerTable();
    for (PeerChannel c : PeerChannel.values()) {
      handlers.register(c, (from, payload) -> delivered.add(payload));
    }
    EmbeddedChannel channel =
        new EmbeddedChannel(
            Frames.decoder(MAX_FRAME_BYTES),
            new InboundMessageHandler(HostId.of("a"), handlers, new Counters(), NO_CONNECTION));
    channel.writeInbound(withLengthPrefix(bytes));
    channel.checkException();
    assertThat(delivered).allMatch(p -> p.length <= bytes.length);
    assertThat(channel.isOpen()).isEqualTo(bytes.length <= MAX_FRAME_BYTES && wellFormed(bytes));
    channel.finishAndReleaseAll();
  }

  @Property(seed = "4103", tries = 300)
  void proofWithOneFlippedBitIsInvalid(@ForAll @IntRange(max = 255) int bit) {
    Transcript transcript =
        new Transcript(1, HostId.of("a"), HostId.of("b"), new byte[32], new byte[32]);
    byte[] proof = LoopbackFleet.SECRET.computeProof(Role.DIALLER, transcript);
    assertThat(LoopbackFleet.SECRET.verifyProof(Role.DIALLER, transcript, proof)).isTrue();
    assertThat(LoopbackFleet.SECRET.verifyProof(Role.ACCEPTOR, transcript, proof)).isFalse();
    proof[bit / 8] ^= (byte) (1 << bit % 8);
    assertThat(LoopbackFleet.SECRET.verifyProof(Role.DIALLER, transcript, proof)).isFalse();
  }

  private static boolean wellFormed(byte[] bytes) {
    try {
      var envelope = org.waxwingcourse.wire.Envelope.parseFrom(bytes);
      if (envelope.getChannel() == Frames.HEARTBEAT_CHANNEL) {
        org.waxwingcourse.wire.Heartbeat.parseFrom(envelope.getPayload());
      }
      return true;
    } catch (com.google.protobuf.InvalidProtocolBufferException e) {
      return false;
    }
  }

  private static ByteBuf withLengthPrefix(byte[] bytes) {
    return Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes);
  }
}
