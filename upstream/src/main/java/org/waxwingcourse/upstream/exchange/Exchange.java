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
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.ConnectionUse;
import org.waxwingcourse.http.HeadSyntax;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;

/**
 * One request and its response. A response with neither a length nor chunks is complete when the
 * upstream closes its side of the connection in order, and incomplete when the connection is reset
 * or is closed by this side. It is also incomplete when the upstream closes its side before the
 * request has been written: the upstream then resets the connection as it receives the rest, and
 * the reset may arrive too late to be seen.
 */
final class Exchange implements StreamCall {
  /**
   * Subtracted from the idle timeout that an upstream announces, so that a request is not sent
   * while the upstream is closing the connection.
   */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

  /** The idle timeout if the upstream announces none. */
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMillis(900);

  private static final int FIRST_STATUS = 100;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  /** Responses to other requests that are dropped before the connection is given up. */
  private static final int MAX_FOREIGN_RESPONSES = 2;

  /** Bytes of such responses that are dropped before the connection is given up. */
  private static final int MAX_FOREIGN_BYTES = 1 << 20;

  /**
   * A request that is cancelled after this time without a byte of its response shows that the
   * connection, or the upstream behind it, may have failed silently.
   */
  private static final Duration SUSPICIOUS_SILENCE = Duration.ofMillis(400);

  /** An action delayed by this time runs after the event loop has read what was received before. */
  private static final Duration INPUT_DELAY = Duration.ofMillis(5);

  /** Skips validation, because {@link #hasValidHead} has validated the headers. */
  private static final HttpHeadersFactory UNVALIDATED_HEADERS =
      DefaultHttpHeadersFactory.headersFactory().withValidation(false);

  private final ExchangeRequest request;
  private final StreamListener listener;
  private final IdleConnectionPool idleConnections;
  private final InstantSource clock;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile boolean cancelled;
  private volatile Channel connection;
  private volatile ConnectionUse connectionUse;
  private volatile Instant sentAt;
  private volatile boolean hasReceivedHead;
  private Duration keepAlive = Duration.ZERO;
  private boolean awaitsHead;
  private boolean requestWritten;
  private boolean closeDelimited;
  private boolean interim;
  private boolean foreign;
  private int foreignResponses;
  private long foreignBytes;

  Exchange(
      ExchangeRequest request,
      StreamListener listener,
      IdleConnectionPool idleConnections,
      InstantSource clock) {
    this.request = request;
    this.listener = listener;
    this.idleConnections = idleConnections;
    this.clock = clock;
  }

  /** Writes the request; called on the connection's event loop. */
  void sendOn(Channel channel) {
    connection = channel;
    if (cancelled) {
      channel.close();
      fail(CallFailure.Kind.NOT_SENT, "cancelled before it was sent");
      return;
    }
    if (!channel.isActive()) {
      fail(CallFailure.Kind.LOST, "connection closed before the request was written");
      return;
    }
    if (!hasValidHead()) {
      channel.close();
      fail(CallFailure.Kind.NOT_SENT, "the head of the request is malformed");
      return;
    }
    sentAt = clock.instant();
    connectionUse = channel.pipeline().get(ExchangeHandler.class).countRequest(request.identity());
    expectResponse();
    channel
        .writeAndFlush(requestMessage())
        .addListener(written -> requestWritten = written.isSuccess());
  }

  /** Returns whether the upstream reads from the head just this request. */
  private boolean hasValidHead() {
    return HeadSyntax.isToken(request.method())
        && HeadSyntax.isTarget(request.target())
        && request.headers().stream().allMatch(h -> HeadSyntax.isHeader(h.name(), h.value()));
  }

  private void expectResponse() {
    awaitsHead = true;
    connection.pipeline().get(ExchangeHandler.class).bind(this);
    connection.pipeline().get(ResponseDecoder.class).expectHead(isHeadRequest());
  }

  private boolean isHeadRequest() {
    return "HEAD".equals(request.method());
  }

  /** Returns whether the final head of the response is missing. */
  boolean awaitsHead() {
    return awaitsHead;
  }

  private FullHttpRequest requestMessage() {
    HttpHeaders headers = UNVALIDATED_HEADERS.newHeaders();
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
        UNVALIDATED_HEADERS.newHeaders());
  }

  @Override
  public void cancel() {
    cancelled = true;
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    Channel channel = connection;
    if (channel != null) {
      channel.close();
      if (isSuspiciouslySilent()) {
        idleConnections.closeAll(request.address());
      }
    }
    listener.onEnd(Option.some(new CallFailure(CallFailure.Kind.CANCELLED, "cancelled")));
  }

  @Override
  public void setReading(boolean reading) {
    Channel channel = connection;
    if (channel != null && !ended.get()) {
      channel.config().setAutoRead(reading);
    }
  }

  @Override
  public Option<ConnectionUse> connection() {
    return Option.of(connectionUse);
  }

  @Override
  public void afterPendingInput(Runnable action) {
    Channel channel = connection;
    if (channel == null) {
      action.run();
    } else {
      channel.eventLoop().schedule(action, INPUT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Connections to one upstream tend to fail together, also when none of them is reset. */
  private boolean isSuspiciouslySilent() {
    Instant sent = sentAt;
    return sent != null
        && !hasReceivedHead
        && clock.instant().isAfter(sent.plus(SUSPICIOUS_SILENCE));
  }

  /** Returns whether a status is one of HTTP. */
  static boolean isStatus(int status) {
    return status >= FIRST_STATUS && status <= LAST_STATUS;
  }

  void onHead(HttpResponse head) {
    interim = head.status().code() < FIRST_FINAL_STATUS;
    awaitsHead = interim;
    if (interim || ended.get()) {
      return;
    }
    List<Header> headers = new ArrayList<>();
    head.headers().forEach(e -> headers.add(Header.of(e.getKey(), e.getValue())));
    BufferedHttpResponse response =
        new BufferedHttpResponse(head.status().code(), headers, new byte[0]);
    closeDelimited = response.isCloseDelimited() && !isHeadRequest();
    keepAlive = HttpUtil.isKeepAlive(head) && !closeDelimited ? idleTimeout(head) : Duration.ZERO;
    foreign = foreignResponses < MAX_FOREIGN_RESPONSES && belongsToEarlier(response);
    if (foreign) {
      foreignResponses++;
      return;
    }
    hasReceivedHead = true;
    listener.onHead(response);
  }

  /** Returns whether the upstream has responded to an earlier request once more. */
  private boolean belongsToEarlier(BufferedHttpResponse response) {
    ExchangeHandler exchanges = connection.pipeline().get(ExchangeHandler.class);
    return !keepAlive.isZero()
        && request
            .identity()
            .flatMap(own -> findIdentity(response, own.name()))
            .exists(named -> !request.identity().contains(named) && exchanges.hasSent(named));
  }

  private static Option<Header> findIdentity(BufferedHttpResponse response, String name) {
    return Option.ofOptional(response.header(name)).map(value -> Header.of(name, value));
  }

  void onContent(ByteBuf bytes) {
    if (foreign) {
      foreignBytes += bytes.readableBytes();
      if (foreignBytes > MAX_FOREIGN_BYTES) {
        connection.close();
        fail(CallFailure.Kind.MALFORMED, "a response to another request does not end");
      }
    } else if (!interim && !ended.get() && bytes.isReadable()) {
      listener.onChunk(ByteBufUtil.getBytes(bytes));
    }
  }

  void onComplete() {
    if (interim) {
      connection.pipeline().get(ExchangeHandler.class).bind(this);
      connection.pipeline().get(ResponseDecoder.class).expectHeadAfterInterim();
      return;
    }
    if (foreign) {
      expectResponse();
      return;
    }
    if (closeDelimited && !connection.isActive()) {
      fail(CallFailure.Kind.LOST, "connection closed before the upstream ended the response");
      return;
    }
    if (closeDelimited && !requestWritten) {
      connection.close();
      fail(CallFailure.Kind.LOST, "the upstream closed before the request was written");
      return;
    }
    if (!ended.compareAndSet(false, true)) {
      connection.close();
      return;
    }
    if (keepAlive.isZero()
        || connection.pipeline().get(ResponseDecoder.class).hasUndecodedBytes()) {
      connection.close();
    } else {
      connection.config().setAutoRead(true);
      idleConnections.release(request.address(), connection, keepAlive);
    }
    listener.onEnd(Option.none());
  }

  void fail(CallFailure.Kind kind, String message) {
    fail(new CallFailure(kind, message));
  }

  void fail(CallFailure failure) {
    if (ended.compareAndSet(false, true)) {
      listener.onEnd(Option.some(failure));
    }
  }

  private static Duration idleTimeout(HttpResponse head) {
    String keepAliveHeader = head.headers().get("Keep-Alive");
    if (keepAliveHeader == null) {
      return DEFAULT_IDLE_TIMEOUT;
    }
    for (String part : keepAliveHeader.split(",")) {
      String[] pair = part.trim().split("=");
      if (pair.length == 2 && "timeout".equalsIgnoreCase(pair[0].trim())) {
        return parseIdleTimeout(pair[1].trim());
      }
    }
    return DEFAULT_IDLE_TIMEOUT;
  }

  private static Duration parseIdleTimeout(String seconds) {
    try {
      Duration usable = Duration.ofSeconds(Long.parseLong(seconds)).minus(IDLE_MARGIN);
      return usable.isNegative() ? Duration.ZERO : usable;
    } catch (NumberFormatException e) {
      return DEFAULT_IDLE_TIMEOUT;
    }
  }
}
