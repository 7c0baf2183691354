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
 * Mutual challenge-response authentication with HMAC-SHA256 under the fleet secret. Both challenges
 * are fresh, so a recorded proof is not valid on another connection. A proof covers the role of its
 * sender, so it cannot be reflected to the host that sent it. Until the handshake is complete, a
 * connection accepts only small frames, each of which must be the next step of the handshake, and
 * the whole handshake has a deadline.
 */
abstract class Handshake extends SimpleChannelInboundHandler<ByteBuf> {
  /** Version of the peer protocol. */
  static final int VERSION = 1;

  /** Maximum size of a handshake frame in bytes. */
  static final int MAX_FRAME_BYTES = 1024;

  private static final EventLog LOG = EventLog.of(Handshake.class);
  private static final int CHALLENGE_BYTES = 32;

  private final PeerSettings settings;
  private final byte[] challenge = new byte[CHALLENGE_BYTES];
  private ScheduledFuture<?> handshakeTimeout;

  Handshake(PeerSettings settings, SecureRandom random) {
    this.settings = settings;
    random.nextBytes(challenge);
  }

  /**
   * Performs the next step of the handshake.
   *
   * @throws HandshakeException if the message is not the expected next step
   */
  abstract void onHello(ChannelHandlerContext ctx, Hello hello) throws HandshakeException;

  /** Called once if the connection closes before the handshake is complete. */
  void onFailed() {}

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
    long millis = settings.connectTimeout().toMillis();
    handshakeTimeout = ctx.executor().schedule(() -> ctx.close(), millis, TimeUnit.MILLISECONDS);
    super.channelActive(ctx);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
    try {
      Hello hello = Frames.decode(frame, Hello.parser());
      if (hello.getVersion() != VERSION) {
        throw new HandshakeException(
            "uses protocol version " + hello.getVersion() + " instead of " + VERSION);
      }
      if (hello.getHost().isEmpty() || hello.getChallenge().size() != CHALLENGE_BYTES) {
        throw new HandshakeException("sent an incomplete Hello message");
      }
      onHello(ctx, hello);
    } catch (InvalidProtocolBufferException e) {
      abort(ctx, "sent a malformed Hello message");
    } catch (HandshakeException e) {
      abort(ctx, e.getMessage());
    }
  }

  private void abort(ChannelHandlerContext ctx, String reason) {
    LOG.write(Event.PEER_REFUSED, ctx.channel().remoteAddress(), reason);
    ctx.close();
  }

  /**
   * Ends the handshake: frames up to the configured limit are accepted from here on and go to the
   * next handler.
   */
  void complete(ChannelHandlerContext ctx) {
    handshakeTimeout.cancel(false);
    ctx.pipeline().remove(this);
    ctx.pipeline().replace("frames", "frames", Frames.decoder(settings.maxFrameBytes()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    if (handshakeTimeout != null) {
      handshakeTimeout.cancel(false);
    }
    onFailed();
    super.channelInactive(ctx);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    abort(ctx, "caused an error in the handshake: " + cause.getMessage());
  }

  /**
   * Thrown if the other end fails the handshake. The message gives the reason and contains no text
   * that the other end sent.
   */
  static final class HandshakeException extends Exception {
    HandshakeException(String reason) {
      super(reason);
    }
  }
}
