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
 * Responds with status 408 to a request whose body has not arrived within a time limit. The
 * response is written directly to the channel, since Ratpack cannot send a response while it is
 * still reading the body.
 */
public final class BodyDeadline {
  private static final int REQUEST_TIMEOUT = 408;

  private final Duration timeout;
  private final Function<String, String> errorBody;

  /**
   * Creates a deadline that expires after {@code timeout}.
   *
   * @param timeout the time within which the body must arrive
   * @param errorBody returns the JSON body of an error response for a message
   */
  public BodyDeadline(Duration timeout, Function<String, String> errorBody) {
    this.timeout = timeout;
    this.errorBody = errorBody;
  }

  /** Starts the deadline; the caller cancels the returned future when the body has arrived. */
  public Future<?> start(Context context) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    return channel
        .eventLoop()
        .schedule(() -> sendTimeoutResponse(channel), timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void sendTimeoutResponse(Channel channel) {
    String message = "the body did not arrive within " + timeout.toMillis() + " ms";
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
