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

/** Takes the answers to heartbeats on a connection that this host opened; nothing else comes. */
final class OutboundFrames extends SimpleChannelInboundHandler<ByteBuf> {
  private static final EventLog LOG = EventLog.of(OutboundFrames.class);

  private final HostId to;
  private final Counters counters;
  private final LongConsumer onAnswer;

  OutboundFrames(HostId to, Counters counters, LongConsumer onAnswer) {
    this.to = to;
    this.counters = counters;
    this.onAnswer = onAnswer;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame)
      throws InvalidProtocolBufferException {
    counters.received(frame.readableBytes());
    Envelope envelope = Frames.decode(frame, Envelope.parser());
    Heartbeat beat = Heartbeat.parseFrom(envelope.getPayload());
    onAnswer.accept(beat.getSequence());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.write(Event.PEER_CONNECTION_BROKEN, to, cause.toString());
    ctx.close();
  }
}
