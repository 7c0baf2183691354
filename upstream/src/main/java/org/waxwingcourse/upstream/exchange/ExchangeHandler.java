package org.waxwingcourse.upstream.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Option;
import java.util.LinkedHashSet;
import java.util.Set;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.ConnectionUse;
import org.waxwingcourse.http.Header;

/** Passes the messages that arrive on a connection to the exchange that is bound to it, if any. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
  private static final String CLOSED_EARLY = "connection closed before the response was complete";

  /** Requests after which the upstream is taken to send no second response to one any more. */
  private static final int MAX_REMEMBERED = 64;

  private final long number;
  private final Set<Header> sent = new LinkedHashSet<>();
  private int sentRequests;
  private Exchange exchange;

  /** Creates the handler of the connection with a number that is unique within the process. */
  ExchangeHandler(long number) {
    this.number = number;
  }

  /** Counts the next request that is sent on the connection, and remembers its identity. */
  ConnectionUse countRequest(Option<Header> identity) {
    sentRequests++;
    identity.forEach(sent::add);
    if (sent.size() > MAX_REMEMBERED) {
      sent.remove(sent.iterator().next());
    }
    return new ConnectionUse(number, sentRequests);
  }

  /**
   * Returns whether a request with this identity is among the last that were sent on the
   * connection; called on its event loop, or while it is idle.
   */
  boolean hasSent(Header identity) {
    return sent.contains(identity);
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
      if (!Exchange.isStatus(head.status().code())) {
        rejectResponse(context, "status " + head.status().code());
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
    // As this process stops it closes the connection itself, which is no evidence on the upstream.
    if (current != null && !context.channel().eventLoop().isShuttingDown()) {
      current.fail(kind, message);
    }
  }
}
