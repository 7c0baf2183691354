package org.waxwingcourse.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import java.security.SecureRandom;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.FleetSecret.Role;
import org.waxwingcourse.peer.FleetSecret.Transcript;
import org.waxwingcourse.wire.Hello;

/** The handshake of the end that opens a connection. It accepts only the host that it dialled. */
final class DialHandshake extends Handshake {
  private final HostId expectedHost;
  private final Runnable onAuthenticated;

  DialHandshake(
      PeerSettings settings, SecureRandom random, HostId expectedHost, Runnable onAuthenticated) {
    super(settings, random);
    this.expectedHost = expectedHost;
    this.onAuthenticated = onAuthenticated;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) throws Exception {
    ctx.writeAndFlush(Frames.encode(hello().build()));
    super.channelActive(ctx);
  }

  @Override
  void onHello(ChannelHandlerContext ctx, Hello hello) throws HandshakeException {
    if (!hello.getHost().equals(expectedHost.value())) {
      throw new HandshakeException("is not host \"" + expectedHost + "\"");
    }
    byte[] acceptorChallenge = hello.getChallenge().toByteArray();
    Transcript transcript =
        new Transcript(VERSION, self(), expectedHost, challenge(), acceptorChallenge);
    if (!secret().verifyProof(Role.ACCEPTOR, transcript, hello.getProof().toByteArray())) {
      throw new HandshakeException("did not prove that it knows the fleet secret");
    }
    byte[] proof = secret().computeProof(Role.DIALLER, transcript);
    ctx.writeAndFlush(Frames.encode(hello().setProof(ByteString.copyFrom(proof)).build()));
    complete(ctx);
    onAuthenticated.run();
  }
}
