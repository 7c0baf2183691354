package org.waxwingcourse.upstream.exchange;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;

/**
 * Sends HTTP/1.1 requests to upstreams, one at a time on a connection. A connection is kept for
 * another request only after a complete response, within the idle timeout that the upstream
 * announced, and only while it receives no data: any unsolicited byte closes it. A request is not
 * sent again on a connection that has it among its last requests. Cancelling a request closes its
 * connection at once, which tells the upstream that the response is no longer needed.
 *
 * <p>Listeners are called on network threads and must not block.
 */
public final class UpstreamHttpClient {
  /**
   * The time limit for opening a connection; a healthy upstream accepts within a few milliseconds.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  /** The same for a connection that only shows whether an upstream can be reached. */
  private static final Duration CHECK_TIMEOUT = Duration.ofMillis(250);

  private final Supplier<EventLoopGroup> groups;
  private final InstantSource clock;
  private final IdleConnectionPool idleConnections;
  private final AtomicLong lastConnection = new AtomicLong();

  private UpstreamHttpClient(Supplier<EventLoopGroup> groups, InstantSource clock) {
    this.groups = groups;
    this.clock = clock;
    this.idleConnections = new IdleConnectionPool(clock);
  }

  /** Returns a client on the threads of {@code group}, which the caller starts and stops. */
  public static UpstreamHttpClient of(EventLoopGroup group, InstantSource clock) {
    return new UpstreamHttpClient(() -> group, clock);
  }

  /**
   * Returns a client that opens each connection on the threads that {@code groups} then supplies. A
   * group that is shut down ends its connections without an end of their requests.
   */
  public static UpstreamHttpClient of(Supplier<EventLoopGroup> groups, InstantSource clock) {
    return new UpstreamHttpClient(groups, clock);
  }

  /** Sends a request; the listener receives the response and exactly one end. */
  public StreamCall send(ExchangeRequest request, StreamListener listener) {
    Exchange exchange = new Exchange(request, listener, idleConnections, clock);
    Channel idle = idleConnections.acquire(request.address(), request.identity());
    if (idle != null) {
      idle.eventLoop().execute(() -> sendOnIdle(idle, request.address(), exchange));
    } else {
      connect(request.address(), exchange);
    }
    return exchange;
  }

  /** Closes the idle connections to an upstream that has been removed. */
  public void closeIdleConnections(InetSocketAddress upstream) {
    idleConnections.closeAll(upstream);
  }

  /** Returns the upstreams to which a connection is open and idle, most recently used first. */
  public List<InetSocketAddress> upstreamsWithIdleConnections() {
    return idleConnections.upstreams();
  }

  /** Opens a connection and closes it; the result is whether it could be opened. */
  public CompletableFuture<Boolean> canConnect(InetSocketAddress upstream) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    EventLoopGroup group = groups.get();
    new Bootstrap()
        .group(group)
        .channel(channelType(group))
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CHECK_TIMEOUT.toMillis())
        .handler(new ChannelInboundHandlerAdapter())
        .connect(upstream)
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              connected.channel().close();
              result.complete(connected.isSuccess());
            });
    return result;
  }

  /** Uses a new connection if the idle one was closed meanwhile. */
  private void sendOnIdle(Channel idle, InetSocketAddress address, Exchange exchange) {
    if (idle.isActive()) {
      exchange.sendOn(idle);
    } else {
      connect(address, exchange);
    }
  }

  private static Class<? extends SocketChannel> channelType(EventLoopGroup group) {
    return group instanceof EpollEventLoopGroup ? EpollSocketChannel.class : NioSocketChannel.class;
  }

  private void connect(InetSocketAddress address, Exchange exchange) {
    EventLoopGroup group = groups.get();
    new Bootstrap()
        .group(group)
        .channel(channelType(group))
        .option(ChannelOption.TCP_NODELAY, true)
        // Tells an orderly close by the upstream, an event, from any other end of the connection.
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel connection) {
                ExchangeHandler exchanges = new ExchangeHandler(lastConnection.incrementAndGet());
                connection
                    .pipeline()
                    .addLast(new ResponseDecoder(exchanges))
                    .addLast(new HttpRequestEncoder())
                    .addLast(exchanges);
              }
            })
        .connect(address)
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                exchange.sendOn(connected.channel());
              } else {
                exchange.fail(CallFailure.notConnected(connected.cause()));
              }
            });
  }
}
