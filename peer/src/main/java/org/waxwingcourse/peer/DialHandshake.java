package org.waxwingcourse.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import java.security.SecureRandom;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.FleetSecret.Role;
import org.waxwingcourse.peer.FleetSecret.Transcript;
import org.waxwingcourse.wire.Hello;

/** The end that opens a connection: it names the host that it wants and takes no other. */
final class DialHandshake extends Handshake {
  private final HostId wanted;
  private final Runnable onProven;

  DialHandshake(PeerSettings settings, SecureRandom random, HostId wanted, Runnable onProven) {
    super(settings, random);
    this.wanted = wanted;
    this.onProven = onProven;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) throws Exception {
    ctx.writeAndFlush(Frames.encode(hello().build()));
    super.channelActive(ctx);
  }

  @Override
  void onHello(ChannelHandlerContext ctx, Hello hello) throws Refused {
    if (!hello.getHost().equals(wanted.value())) {
      throw new Refused("is not host \"" + wanted + "\"");
    }
    byte[] theirs = hello.getChallenge().toByteArray();
    Transcript transcript = new Transcript(VERSION, self(), wanted, challenge(), theirs);
    if (!secret().verify(Role.ACCEPTOR, transcript, hello.getProof().toByteArray())) {
      throw new Refused("does not know the fleet secret");
    }
    byte[] proof = secret().prove(Role.DIALLER, transcript);
    ctx.writeAndFlush(Frames.encode(hello().setProof(ByteString.copyFrom(proof)).build()));
    complete(ctx);
    onProven.run();
  }
}
