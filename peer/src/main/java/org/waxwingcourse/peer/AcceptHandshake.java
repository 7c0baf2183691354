package org.waxwingcourse.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import java.security.SecureRandom;
import java.util.function.Consumer;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.FleetSecret.Role;
import org.waxwingcourse.peer.FleetSecret.Transcript;
import org.waxwingcourse.wire.Hello;

/** The handshake of the end that accepts a connection. */
final class AcceptHandshake extends Handshake {
  private final Consumer<HostId> onAuthenticated;
  private final Runnable onFailed;
  private Transcript transcript;

  AcceptHandshake(
      PeerSettings settings,
      SecureRandom random,
      Consumer<HostId> onAuthenticated,
      Runnable onFailed) {
    super(settings, random);
    this.onAuthenticated = onAuthenticated;
    this.onFailed = onFailed;
  }

  @Override
  void onHello(ChannelHandlerContext ctx, Hello hello) throws HandshakeException {
    if (transcript == null) {
      sendProof(ctx, hello);
    } else {
      verifyProof(ctx, hello);
    }
  }

  private void sendProof(ChannelHandlerContext ctx, Hello hello) {
    HostId dialler = HostId.of(hello.getHost());
    byte[] diallerChallenge = hello.getChallenge().toByteArray();
    transcript = new Transcript(VERSION, dialler, self(), diallerChallenge, challenge());
    byte[] proof = secret().computeProof(Role.ACCEPTOR, transcript);
    ctx.writeAndFlush(Frames.encode(hello().setProof(ByteString.copyFrom(proof)).build()));
  }

  private void verifyProof(ChannelHandlerContext ctx, Hello hello) throws HandshakeException {
    if (!secret().verifyProof(Role.DIALLER, transcript, hello.getProof().toByteArray())) {
      throw new HandshakeException("did not prove that it knows the fleet secret");
    }
    onAuthenticated.accept(transcript.dialler());
    complete(ctx);
  }

  @Override
  void onFailed() {
    onFailed.run();
  }
}
