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
  private final HeartbeatAnswers answers;
  private long offered = Frames.NO_SEQUENCE;

  InboundMessageHandler(
      HostId from, HandlerTable handlers, Counters counters, HeartbeatAnswers answers) {
    this.from = from;
    this.handlers = handlers;
    this.counters = counters;
    this.answers = answers;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame)
      throws InvalidProtocolBufferException {
    counters.received(frame.readableBytes());
    Envelope envelope = Frames.decode(frame, Envelope.parser());
    if (envelope.getChannel() == Frames.HEARTBEAT_CHANNEL) {
      answerHeartbeat(ctx, Heartbeat.parseFrom(envelope.getPayload()).getSequence());
    } else {
      if (envelope.getAnswered() != Frames.NO_SEQUENCE) {
        answers.onAnswer(from, envelope.getAnswered());
      }
      if (envelope.getHeartbeat() != Frames.NO_SEQUENCE) {
        offerAnswer(ctx, envelope.getHeartbeat());
      }
      handlers.deliver(from, envelope.getChannel(), envelope.getPayload().toByteArray());
    }
  }

  /** Lets a message that answers the one just received carry the answer to its heartbeat too. */
  private void offerAnswer(ChannelHandlerContext ctx, long sequence) {
    if (answers.offer(from, sequence)) {
      offered = sequence;
    } else {
      answerHeartbeat(ctx, sequence);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (offered != Frames.NO_SEQUENCE && answers.withdraw(from, offered)) {
      answerHeartbeat(ctx, offered);
    }
    offered = Frames.NO_SEQUENCE;
    ctx.fireChannelReadComplete();
  }

  private void answerHeartbeat(ChannelHandlerContext ctx, long sequence) {
    ByteBuf answer = Frames.heartbeat(sequence, true);
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
