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

/** Whatever bytes come, nothing is delivered unproven and no exception leaves the pipeline. */
class MalformedFramesTest {
  private static final PeerSettings SETTINGS = TestPeers.settings(HostId.of("b"));
  private static final int MAX_FRAME = 256;

  @Property(seed = "4101", tries = 300)
  void strangersBytesDeliverNothing(@ForAll @Size(max = 200) byte[] bytes) {
    List<HostId> proven = new ArrayList<>();
    EmbeddedChannel channel =
        new EmbeddedChannel(
            Frames.decoder(Handshake.MAX_BYTES),
            new AcceptHandshake(SETTINGS, new SecureRandom(), proven::add, () -> {}));
    channel.writeInbound(framed(bytes));
    if (channel.isOpen()) {
      channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    }
    channel.checkException();
    assertThat(proven).isEmpty();
    channel.finishAndReleaseAll();
  }

  @Property(seed = "4102", tries = 300)
  void provenHostsBrokenFramesEndOnlyItsConnection(@ForAll @Size(max = 400) byte[] bytes) {
    List<byte[]> delivered = new ArrayList<>();
    HandlerTable handlers = new HandlerTable();
    for (Channel c : Channel.values()) {
      handlers.put(c, (from, payload) -> delivered.add(payload));
    }
    EmbeddedChannel channel =
        new EmbeddedChannel(
            Frames.decoder(MAX_FRAME), new InboundFrames(HostId.of("a"), handlers, new Counters()));
    channel.writeInbound(framed(bytes));
    channel.checkException();
    assertThat(delivered).allMatch(p -> p.length <= bytes.length);
    assertThat(channel.isOpen()).isEqualTo(bytes.length <= MAX_FRAME && wellFormed(bytes));
    channel.finishAndReleaseAll();
  }

  @Property(seed = "4103", tries = 300)
  void proofWithOneBitChangedIsRefused(@ForAll @IntRange(max = 255) int bit) {
    Transcript transcript =
        new Transcript(1, HostId.of("a"), HostId.of("b"), new byte[32], new byte[32]);
    byte[] proof = TestPeers.SECRET.prove(Role.DIALLER, transcript);
    assertThat(TestPeers.SECRET.verify(Role.DIALLER, transcript, proof)).isTrue();
    assertThat(TestPeers.SECRET.verify(Role.ACCEPTOR, transcript, proof)).isFalse();
    proof[bit / 8] ^= (byte) (1 << bit % 8);
    assertThat(TestPeers.SECRET.verify(Role.DIALLER, transcript, proof)).isFalse();
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

  private static ByteBuf framed(byte[] bytes) {
    return Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes);
  }
}
