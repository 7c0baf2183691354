package org.waxwingcourse.upstream.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.ConnectionUse;

/** Passes the messages that arrive on a connection to the exchange that is bound to it, if any. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
  private final long number;
  private int sentRequests;
  private Exchange exchange;
  private Exchange previous;

  /** Creates the handler of the connection with a number that is unique within the process. */
  ExchangeHandler(long number) {
    this.number = number;
  }

  /** Counts the next request that is sent on the connection. */
  ConnectionUse countRequest() {
    sentRequests++;
    return new ConnectionUse(number, sentRequests);
  }

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
