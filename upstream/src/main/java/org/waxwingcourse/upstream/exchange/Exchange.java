package org.waxwingcourse.upstream.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;

/**
 * One request and its answer. An answer without a length ends with its connection and counts as
 * broken, since nothing tells whether it is whole.
 */
final class Exchange implements StreamCall {
  /** Taken off the idle time that an upstream grants, against a close that crosses a request. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

  /** Idle time where the upstream states none. */
  private static final Duration UNSTATED_IDLE = Duration.ofMillis(900);

  private static final int CONTINUE_STATUS_END = 200;

  /** Headers come from a decoder that has checked them. */
  private static final HttpHeadersFactory UNCHECKED =
      DefaultHttpHeadersFactory.headersFactory().withValidation(false);

  /** Keeps a connection for another request. */
  @FunctionalInterface
  interface Parking {
    void park(InetSocketAddress upstream, Channel connection, Duration keepFor);
  }

  private final ExchangeRequest request;
  private final StreamListener listener;
  private final Parking parking;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile boolean cancelled;
  private volatile Channel connection;
  private Duration keepFor = Duration.ZERO;
  private boolean framed;
  private boolean interim;

  Exchange(ExchangeRequest request, StreamListener listener, Parking parking) {
    this.request = request;
    this.listener = listener;
    this.parking = parking;
  }

  /** Writes the request; called on the connection's thread. */
  void begin(Channel open) {
    connection = open;
    if (cancelled) {
      open.close();
      fail(CallFailure.Kind.NOT_SENT, "cancelled before it was sent");
      return;
    }
    if (!open.isActive()) {
      fail(CallFailure.Kind.LOST, "connection closed before the request was written");
      return;
    }
    open.pipeline().get(ExchangeHandler.class).carry(this);
    open.writeAndFlush(message());
  }

  private FullHttpRequest message() {
    HttpHeaders headers = UNCHECKED.newHeaders();
    request.headers().forEach(h -> headers.add(h.name(), h.value()));
    headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (request.body().length > 0 || !"GET".equals(request.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        HttpMethod.valueOf(request.method()),
        request.target(),
        Unpooled.wrappedBuffer(request.body()),
        headers,
        UNCHECKED.newHeaders());
  }

  @Override
  public void cancel() {
    cancelled = true;
    Channel open = connection;
    if (open != null && !ended.get()) {
      open.close();
    }
    fail(CallFailure.Kind.CANCELLED, "cancelled");
  }

  void onHead(HttpResponse head) {
    interim = head.status().code() < CONTINUE_STATUS_END;
    if (interim || ended.get()) {
      return;
    }
    framed =
        HttpUtil.isTransferEncodingChunked(head)
            || HttpUtil.isContentLengthSet(head)
            || head.status().code() == 204
            || head.status().code() == 304;
    keepFor = HttpUtil.isKeepAlive(head) && framed ? grantedIdle(head) : Duration.ZERO;
    List<Header> headers = new ArrayList<>();
    head.headers().forEach(e -> headers.add(Header.of(e.getKey(), e.getValue())));
    listener.onHead(new HttpAnswer(head.status().code(), headers, new byte[0]));
  }

  void onContent(ByteBuf bytes) {
    if (!interim && !ended.get() && bytes.isReadable()) {
      listener.onChunk(ByteBufUtil.getBytes(bytes));
    }
  }

  void onWhole() {
    if (interim) {
      connection.pipeline().get(ExchangeHandler.class).carry(this);
      return;
    }
    if (!framed) {
      connection.close();
      fail(CallFailure.Kind.LOST, "the answer had no length and its connection ended");
      return;
    }
    if (!ended.compareAndSet(false, true)) {
      connection.close();
      return;
    }
    if (keepFor.isZero()) {
      connection.close();
    } else {
      parking.park(request.to(), connection, keepFor);
    }
    listener.onEnd(Option.none());
  }

  void fail(CallFailure.Kind kind, String message) {
    if (ended.compareAndSet(false, true)) {
      listener.onEnd(Option.some(new CallFailure(kind, message)));
    }
  }

  private static Duration grantedIdle(HttpResponse head) {
    String stated = head.headers().get("Keep-Alive");
    if (stated == null) {
      return UNSTATED_IDLE;
    }
    for (String part : stated.split(",")) {
      String[] pair = part.trim().split("=");
      if (pair.length == 2 && "timeout".equalsIgnoreCase(pair[0].trim())) {
        return parsedIdle(pair[1].trim());
      }
    }
    return UNSTATED_IDLE;
  }

  private static Duration parsedIdle(String seconds) {
    try {
      Duration left = Duration.ofSeconds(Long.parseLong(seconds)).minus(IDLE_MARGIN);
      return left.isNegative() ? Duration.ZERO : left;
    } catch (NumberFormatException e) {
      return UNSTATED_IDLE;
    }
  }
}
