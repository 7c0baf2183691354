package org.waxwingcourse.upstream.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.waxwingcourse.http.CallFailure;

/** Passes the messages that arrive on a connection to the exchange that is bound to it, if any. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
  private Exchange exchange;
  private Exchange previous;

  /** Returns the exchange that the connection has served last, null before the first has ended. */
  Exchange previous() {
    return previous;
  }

  /** Binds the connection to its next exchange; called on the connection's event loop. */
  void bind(Exchange next) {
    exchange = next;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    Exchange current = exchange;
    if (current == null) {
      context.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      closeAndFail(context, "malformed response: " + message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpResponse head) {
      current.onHead(head);
    }
    if (message instanceof HttpContent content) {
      current.onContent(content.content());
    }
    if (message instanceof LastHttpContent) {
      exchange = null;
      current.onComplete();
      if (exchange == null) {
        previous = current;
      }
    }
  }

  /**
   * Handles the end of what the upstream sends. The decoder has seen it before and has ended a
   * response that it delimits.
   */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      closeAndFail(context, "connection closed before the response was complete");
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closeAndFail(context, "connection closed before the response was complete");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    closeAndFail(context, "connection failed: " + cause);
  }

  private void closeAndFail(ChannelHandlerContext context, String message) {
    Exchange current = exchange;
    exchange = null;
    context.close();
    if (current != null) {
      current.fail(CallFailure.Kind.LOST, message);
    }
  }
}
