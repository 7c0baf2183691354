package org.waxwingcourse.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.Envelope;
import org.waxwingcourse.wire.Heartbeat;

/** Delivers the messages of an authenticated host and answers its heartbeats. */
final class InboundMessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private static final EventLog LOG = EventLog.of(InboundMessageHandler.class);

  private final HostId from;
  private final HandlerTable handlers;
  private final Counters counters;

  InboundMessageHandler(HostId from, HandlerTable handlers, Counters counters) {
    this.from = from;
    this.handlers = handlers;
    this.counters = counters;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame)
      throws InvalidProtocolBufferException {
    counters.received(frame.readableBytes());
    Envelope envelope = Frames.decode(frame, Envelope.parser());
    if (envelope.getChannel() == Frames.HEARTBEAT_CHANNEL) {
      answerHeartbeat(ctx, Heartbeat.parseFrom(envelope.getPayload()));
    } else {
      handlers.deliver(from, envelope.getChannel(), envelope.getPayload().toByteArray());
    }
  }

  private void answerHeartbeat(ChannelHandlerContext ctx, Heartbeat heartbeat) {
    ByteBuf answer = Frames.heartbeat(heartbeat.getSequence(), true);
    counters.sent(answer.readableBytes());
    ctx.writeAndFlush(answer);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof IdleStateEvent) {
      ctx.close();
    } else {
      super.userEventTriggered(ctx, event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.write(Event.PEER_CONNECTION_BROKEN, from, cause.toString());
    ctx.close();
  }
}
