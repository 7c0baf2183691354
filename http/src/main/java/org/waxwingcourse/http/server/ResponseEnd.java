package org.waxwingcourse.http.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import ratpack.handling.Context;

/**
 * Lets a receiver tell a whole response from one that is broken off, where its length is not known
 * beforehand. On a connection that is not kept, a response without chunks is whole when the
 * connection is closed in order (RFC 9112, 6.3).
 */
public final class ResponseEnd {
  /** The time that a receiver has for the last bytes of an incomplete response. */
  private static final Duration LAST_BYTES_TIME = Duration.ofMillis(400);

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
   * without a last chunk. A receiver that does not take these bytes soon does without the rest.
   */
  public static void breakOff(Context context) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    Runnable close = () -> close(channel, !readsChunks(context));
    channel
        .eventLoop()
        .execute(
            () -> {
              channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> close.run());
              closeLater(channel, close);
            });
  }

  /** Closes the connection of an incomplete response even if its receiver takes no bytes. */
  public static void breakOffSoon(Context context) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    closeLater(channel, () -> close(channel, !readsChunks(context)));
  }

  private static void closeLater(Channel channel, Runnable close) {
    if (!channel.isOpen()) {
      return;
    }
    Future<?> closing =
        channel.eventLoop().schedule(close, LAST_BYTES_TIME.toMillis(), TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> closing.cancel(false));
  }

  private static void close(Channel channel, boolean reset) {
    if (reset && channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  private static boolean readsChunks(Context context) {
    return !HttpVersion.HTTP_1_0.text().equals(context.getRequest().getProtocol());
  }
}
