package org.waxwingcourse.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.Hello;

/**
 * Mutual challenge and response with HMAC-SHA256 over the fleet secret. Both challenges are fresh,
 * so a recorded proof is worthless on another connection; the proof names its end, so it cannot be
 * sent back to the host that gave it. Until the proof is checked a connection may only send small
 * frames, each of which must be the next step, and has a deadline for all of them.
 */
abstract class Handshake extends SimpleChannelInboundHandler<ByteBuf> {
  /** Version of the protocol between hosts. */
  static final int VERSION = 1;

  /** Largest frame before the proofs, in bytes. */
  static final int MAX_BYTES = 1024;

  private static final EventLog LOG = EventLog.of(Handshake.class);
  private static final int CHALLENGE_BYTES = 32;

  private final PeerSettings settings;
  private final byte[] challenge = new byte[CHALLENGE_BYTES];
  private ScheduledFuture<?> timeout;

  Handshake(PeerSettings settings, SecureRandom random) {
    this.settings = settings;
    random.nextBytes(challenge);
  }

  /** Takes the next step or throws {@link Refused}. */
  abstract void onHello(ChannelHandlerContext ctx, Hello hello) throws Refused;

  /** Called once when the connection ends before both proofs are checked. */
  void onRefused() {}

  byte[] challenge() {
    return challenge;
  }

  HostId self() {
    return settings.self();
  }

  FleetSecret secret() {
    return settings.secret();
  }

  Hello.Builder hello() {
    return Hello.newBuilder()
        .setVersion(VERSION)
        .setHost(self().value())
        .setChallenge(ByteString.copyFrom(challenge));
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) throws Exception {
    long millis = settings.connectLimit().toMillis();
    timeout = ctx.executor().schedule(() -> ctx.close(), millis, TimeUnit.MILLISECONDS);
    super.channelActive(ctx);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
    try {
      Hello hello = Frames.decode(frame, Hello.parser());
      if (hello.getVersion() != VERSION) {
        throw new Refused("speaks version " + hello.getVersion() + ", not " + VERSION);
      }
      if (hello.getHost().isEmpty() || hello.getChallenge().size() != CHALLENGE_BYTES) {
        throw new Refused("sent an incomplete greeting");
      }
      onHello(ctx, hello);
    } catch (InvalidProtocolBufferException e) {
      refuse(ctx, "sent a malformed greeting");
    } catch (Refused e) {
      refuse(ctx, e.getMessage());
    }
  }

  private void refuse(ChannelHandlerContext ctx, String reason) {
    LOG.write(Event.PEER_REFUSED, ctx.channel().remoteAddress(), reason);
    ctx.close();
  }

  /** Lets frames up to the settings' limit in; the handler after this one takes them. */
  void complete(ChannelHandlerContext ctx) {
    timeout.cancel(false);
    ctx.pipeline().remove(this);
    ctx.pipeline().replace("frames", "frames", Frames.decoder(settings.maxFrameBytes()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    if (timeout != null) {
      timeout.cancel(false);
    }
    onRefused();
    super.channelInactive(ctx);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    refuse(ctx, "broke the greeting: " + cause.getMessage());
  }

  /** The other end is not accepted; the message says why and repeats nothing it sent. */
  static final class Refused extends Exception {
    Refused(String reason) {
      super(reason);
    }
  }
}
