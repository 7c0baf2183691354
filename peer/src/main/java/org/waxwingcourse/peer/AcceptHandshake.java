package org.waxwingcourse.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import java.security.SecureRandom;
import java.util.function.Consumer;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.FleetSecret.Role;
import org.waxwingcourse.peer.FleetSecret.Transcript;
import org.waxwingcourse.wire.Hello;

/** The end that is connected to. */
final class AcceptHandshake extends Handshake {
  private final Consumer<HostId> onProven;
  private final Runnable onRefused;
  private Transcript transcript;

  AcceptHandshake(
      PeerSettings settings, SecureRandom random, Consumer<HostId> onProven, Runnable onRefused) {
    super(settings, random);
    this.onProven = onProven;
    this.onRefused = onRefused;
  }

  @Override
  void onHello(ChannelHandlerContext ctx, Hello hello) throws Refused {
    if (transcript == null) {
      answer(ctx, hello);
    } else {
      check(ctx, hello);
    }
  }

  private void answer(ChannelHandlerContext ctx, Hello hello) {
    HostId dialler = HostId.of(hello.getHost());
    byte[] theirs = hello.getChallenge().toByteArray();
    transcript = new Transcript(VERSION, dialler, self(), theirs, challenge());
    byte[] proof = secret().prove(Role.ACCEPTOR, transcript);
    ctx.writeAndFlush(Frames.encode(hello().setProof(ByteString.copyFrom(proof)).build()));
  }

  private void check(ChannelHandlerContext ctx, Hello hello) throws Refused {
    if (!secret().verify(Role.DIALLER, transcript, hello.getProof().toByteArray())) {
      throw new Refused("does not know the fleet secret");
    }
    onProven.accept(transcript.dialler());
    complete(ctx);
  }

  @Override
  void onRefused() {
    onRefused.run();
  }
}
