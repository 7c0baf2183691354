package org.waxwingcourse.http.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpVersion;
import ratpack.handling.Context;

/**
 * Lets a receiver tell a whole response from one that is broken off, where its length is not known
 * beforehand. On a connection that is not kept, a response without chunks is whole when the
 * connection is closed in order (RFC 9112, 6.3).
 */
public final class ResponseEnd {
  private ResponseEnd() {}

  /** Has a response sent in chunks if its receiver can read them; called before it is sent. */
  public static void sendInChunks(Context context) {
    if (readsChunks(context)) {
      context
          .getResponse()
          .getHeaders()
          .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
  }

  /**
   * Closes the connection of an incomplete response after the bytes that were already passed on,
   * without a last chunk. Where there are no chunks, the connection is reset.
   */
  public static void breakOff(Context context) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    boolean reset = !readsChunks(context);
    channel
        .eventLoop()
        .execute(
            () ->
                channel
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(written -> setReset(channel, reset))
                    .addListener(ChannelFutureListener.CLOSE));
  }

  private static void setReset(Channel channel, boolean reset) {
    if (reset && channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
  }

  private static boolean readsChunks(Context context) {
    return !HttpVersion.HTTP_1_0.text().equals(context.getRequest().getProtocol());
  }
}
