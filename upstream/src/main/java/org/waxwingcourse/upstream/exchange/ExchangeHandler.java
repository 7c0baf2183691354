package org.waxwingcourse.upstream.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.waxwingcourse.http.CallFailure;

/** Hands what arrives on a connection to the exchange that it carries, if any. */
final class ExchangeHandler extends SimpleChannelInboundHandler<HttpObject> {
  private Exchange exchange;

  /** Binds the connection to its next exchange; called on the connection's thread. */
  void carry(Exchange next) {
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
      end(context, "malformed answer: " + message.decoderResult().cause());
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
      current.onWhole();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    end(context, "connection closed before the answer ended");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    end(context, "connection failed: " + cause);
  }

  private void end(ChannelHandlerContext context, String message) {
    Exchange current = exchange;
    exchange = null;
    context.close();
    if (current != null) {
      current.fail(CallFailure.Kind.LOST, message);
    }
  }
}
