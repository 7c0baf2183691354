package org.waxwingcourse.http.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import ratpack.handling.Context;

/**
 * Ends a request whose body has not arrived by a deadline. The answer is written to the connection
 * itself, since Ratpack gives no way to answer while it still reads the body.
 */
public final class BodyDeadline {
  private static final int REQUEST_TIMEOUT = 408;

  private final Duration patience;
  private final Function<String, String> errorBody;

  /**
   * Creates a deadline that ends after {@code patience}.
   *
   * @param patience time in which a body must arrive
   * @param errorBody the front's JSON for an error message
   */
  public BodyDeadline(Duration patience, Function<String, String> errorBody) {
    this.patience = patience;
    this.errorBody = errorBody;
  }

  /** Starts the deadline; the caller cancels the result once the body has arrived. */
  public Future<?> start(Context context) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    return channel
        .eventLoop()
        .schedule(() -> end(channel), patience.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void end(Channel channel) {
    String message = "the body did not arrive within " + patience.toMillis() + " ms";
    byte[] body = errorBody.apply(message).getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT, Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
