package org.waxwingcourse.upstream.exchange;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;

/**
 * Sends requests to upstreams, one at a time on a connection. A connection is kept for another
 * request only after a whole answer, within the time that the upstream granted, and only while it
 * stays silent: a byte that nobody asked for closes it. Cancelling a request closes its connection
 * at once, which is how an upstream learns that nobody waits any more.
 *
 * <p>Listeners are called on network threads and must not block.
 */
public final class HttpExchanges {
  /** Time to open a connection; a sound upstream accepts within a few milliseconds. */
  private static final Duration CONNECT_LIMIT = Duration.ofMillis(700);

  /** Largest header of an answer, bytes; as large as the largest that callers may send. */
  private static final int MAX_HEADER_BYTES = 16 * 1024;

  private static final int MAX_LINE_BYTES = 4096;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private final EventLoopGroup group;
  private final ParkedConnections parked;

  private HttpExchanges(EventLoopGroup group, InstantSource clock) {
    this.group = group;
    this.parked = new ParkedConnections(clock);
  }

  /** Returns exchanges on the threads of {@code group}, which the caller starts and stops. */
  public static HttpExchanges of(EventLoopGroup group, InstantSource clock) {
    return new HttpExchanges(group, clock);
  }

  /** Sends a request; the listener hears its answer and exactly one end. */
  public StreamCall send(ExchangeRequest request, StreamListener listener) {
    Exchange exchange = new Exchange(request, listener, parked::park);
    Channel open = request.reuse() ? parked.take(request.to()) : null;
    if (open != null) {
      open.eventLoop().execute(() -> exchange.begin(open));
    } else {
      connect(request.to(), exchange);
    }
    return exchange;
  }

  /** Closes the connections kept for an upstream that is gone. */
  public void forget(InetSocketAddress upstream) {
    parked.forget(upstream);
  }

  private void connect(InetSocketAddress to, Exchange exchange) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_LIMIT.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel connection) {
                connection
                    .pipeline()
                    .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                    .addLast(new ExchangeHandler());
              }
            })
        .connect(to)
        .addListener(
            (io.netty.channel.ChannelFuture f) -> {
              if (f.isSuccess()) {
                exchange.begin(f.channel());
              } else {
                exchange.fail(CallFailure.Kind.NOT_SENT, "no connection: " + f.cause());
              }
            });
  }
}
