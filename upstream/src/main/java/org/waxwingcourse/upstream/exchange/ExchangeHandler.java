package org.waxwingcourse.upstream.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.ConnectionUse;

/** Passes the messages that arrive on a connection to the exchange that is bound to it, if any. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
  private static final String CLOSED_EARLY = "connection closed before the response was complete";

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

  /** Returns whether a response is expected or being received. */
  boolean isBound() {
    return exchange != null;
  }

  /** Returns whether a response is expected whose head is not complete. */
  boolean awaitsHead() {
    return exchange != null && exchange.awaitsHead();
  }

  /** Closes the connection because what it receives is no response. */
  void rejectResponse(ChannelHandlerContext context, String reason) {
    closeAndFail(context, CallFailure.Kind.MALFORMED, "malformed response: " + reason);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    Exchange current = exchange;
    if (current == null) {
      context.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      Throwable cause = message.decoderResult().cause();
      if (cause instanceof PrematureChannelClosureException) {
        closeAndFail(context, CLOSED_EARLY);
      } else {
        rejectResponse(context, cause.toString());
      }
      return;
    }
    if (message instanceof HttpResponse head) {
      if (context.pipeline().get(ResponseDecoder.class).isHeadTooLong()) {
        rejectResponse(context, "no head within " + ResponseDecoder.MAX_HEAD_BYTES + " bytes");
        return;
      }
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
      closeAndFail(context, CLOSED_EARLY);
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closeAndFail(context, CLOSED_EARLY);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    closeAndFail(context, "connection failed: " + cause);
  }

  private void closeAndFail(ChannelHandlerContext context, String message) {
    closeAndFail(context, CallFailure.Kind.LOST, message);
  }

  private void closeAndFail(ChannelHandlerContext context, CallFailure.Kind kind, String message) {
    Exchange current = exchange;
    exchange = null;
    context.close();
    if (current != null) {
      current.fail(kind, message);
    }
  }
}
