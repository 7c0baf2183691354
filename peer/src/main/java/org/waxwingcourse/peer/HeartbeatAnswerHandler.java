package org.waxwingcourse.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.LongConsumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.Envelope;
import org.waxwingcourse.wire.Heartbeat;

/**
 * Receives the answers to heartbeats on a connection that this host opened. The other end sends no
 * other messages on it.
 */
final class HeartbeatAnswerHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private static final EventLog LOG = EventLog.of(HeartbeatAnswerHandler.class);

  private final HostId host;
  private final Counters counters;
  private final LongConsumer onAnswer;

  HeartbeatAnswerHandler(HostId host, Counters counters, LongConsumer onAnswer) {
    this.host = host;
    this.counters = counters;
    this.onAnswer = onAnswer;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame)
      throws InvalidProtocolBufferException {
    counters.received(frame.readableBytes());
    Envelope envelope = Frames.decode(frame, Envelope.parser());
    Heartbeat heartbeat = Heartbeat.parseFrom(envelope.getPayload());
    onAnswer.accept(heartbeat.getSequence());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.write(Event.PEER_CONNECTION_BROKEN, host, cause.toString());
    ctx.close();
  }
}
