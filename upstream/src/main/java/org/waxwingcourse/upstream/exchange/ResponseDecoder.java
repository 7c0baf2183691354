package org.waxwingcourse.upstream.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decodes the responses on one connection. It bounds the bytes that an upstream may send before the
 * head of a response is complete, interim responses and other protocols included, and the time from
 * the first byte of a head to its last. Bytes that arrive while no response is expected close the
 * connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  /**
   * The maximum number of bytes up to the end of a response's head, interim heads included: as many
   * header bytes as a caller's request may have, and a status line.
   */
  static final int MAX_HEAD_BYTES = 20 * 1024;

  /** Larger than a head, since the bound of the decoder depends on how the bytes are split. */
  private static final int MAX_LINE_BYTES = 2 * MAX_HEAD_BYTES;

  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** The first byte of every response. */
  private static final byte FIRST_BYTE = 'H';

  /**
   * The time limit from the first byte of a head to its last; upstreams write a head at once, and a
   * congested link delivers its parts within this time.
   */
  static final Duration HEAD_TIMEOUT = Duration.ofSeconds(2);

  /** Lets the event loop read what has been received while this process was late. */
  private static final Duration INPUT_DELAY = Duration.ofMillis(5);

  private final ExchangeHandler exchanges;
  private boolean expectsNoBody;
  private long receivedBytes;
  private long headsOffset;
  private long headOffset;
  private ScheduledFuture<?> headTimeout;

  ResponseDecoder(ExchangeHandler exchanges) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_LINE_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
    this.exchanges = exchanges;
  }

  /** Expects the head of a response from the next byte on. */
  void expectHead(boolean isHeadRequest) {
    expectsNoBody = isHeadRequest;
    headsOffset = decodedBytes();
    expectHeadAfterInterim();
  }

  /** Expects another head of the same response, with a time limit of its own. */
  void expectHeadAfterInterim() {
    headOffset = decodedBytes();
    stopHeadTimeout();
  }

  /** Returns whether bytes have been received that follow the message decoded last. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Returns whether the head decoded last ended beyond the limit. */
  boolean isHeadTooLong() {
    return decodedBytes() - headsOffset > MAX_HEAD_BYTES;
  }

  private long decodedBytes() {
    return receivedBytes - actualReadableBytes();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    ByteBuf bytes = (ByteBuf) message;
    if (!exchanges.isBound()) {
      bytes.release();
      context.close();
      return;
    }
    receivedBytes += bytes.readableBytes();
    super.channelRead(context, message);
    if (!exchanges.awaitsHead()) {
      stopHeadTimeout();
    } else if (receivedBytes - headsOffset > MAX_HEAD_BYTES) {
      stopHeadTimeout();
      exchanges.rejectResponse(context, "no head within " + MAX_HEAD_BYTES + " bytes");
    } else if (headTimeout == null && receivedBytes > headOffset) {
      scheduleHeadTimeout(context);
    }
  }

  /** Rejects what the decoder would skip before a head, such as empty lines. */
  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    boolean atHead = exchanges.awaitsHead() && decodedBytes() == headOffset;
    if (atHead && buffer.isReadable() && buffer.getByte(buffer.readerIndex()) != FIRST_BYTE) {
      buffer.skipBytes(buffer.readableBytes());
      exchanges.rejectResponse(context, "no status line");
      return;
    }
    super.decode(context, buffer, out);
  }

  private void scheduleHeadTimeout(ChannelHandlerContext context) {
    Runnable reject =
        () -> {
          if (exchanges.awaitsHead()) {
            exchanges.rejectResponse(
                context, "no complete head " + HEAD_TIMEOUT.toMillis() + " ms after its start");
          }
        };
    headTimeout =
        context
            .executor()
            .schedule(
                () -> {
                  headTimeout =
                      context
                          .executor()
                          .schedule(reject, INPUT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
                },
                HEAD_TIMEOUT.toMillis(),
                TimeUnit.MILLISECONDS);
  }

  private void stopHeadTimeout() {
    if (headTimeout != null) {
      headTimeout.cancel(false);
      headTimeout = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    stopHeadTimeout();
    super.channelInactive(context);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return expectsNoBody || super.isContentAlwaysEmpty(message);
  }
}
