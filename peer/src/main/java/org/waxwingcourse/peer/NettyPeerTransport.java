package org.waxwingcourse.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.service.Service;

/**
 * Sends messages between hosts over TCP as length-prefixed protobuf. Each direction has its own
 * connection, which the sender opens; it carries messages once both ends have proved that they know
 * the fleet secret.
 *
 * <p>Delivery is at most once. A message is lost when its host cannot be reached, when the queue
 * for that host is full, or when the connection closes or stops answering before delivery; it is
 * never sent again. A subsystem that needs reliable delivery acknowledges its messages itself, and
 * the receiver must detect messages that are repeated for that reason. Messages on one connection
 * arrive in order, but a message on a replaced connection may arrive after a message on its
 * successor.
 *
 * <p>Each link has its own lock. Handlers run on network threads and must not block.
 */
public final class NettyPeerTransport implements PeerTransport, Service {
  private static final EventLog LOG = EventLog.of(NettyPeerTransport.class);
  private static final int MAX_UNAUTHENTICATED = 1024;
  private static final int MAX_CONSOLIDATED_FLUSHES = 64;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

  private final PeerSettings settings;
  private final Function<HostId, Option<InetSocketAddress>> resolver;
  private final InstantSource clock;
  private final SecureRandom random;
  private final Counters counters = new Counters();
  private final HandlerTable handlers = new HandlerTable();
  private final ConcurrentMap<HostId, Link> links = new ConcurrentHashMap<>();
  private final HeartbeatAnswers answers = new LinkAnswers();
  private final AtomicInteger unauthenticated = new AtomicInteger();
  private NioEventLoopGroup group;

  /** Delivers messages that this host sends to itself; a single thread keeps them in order. */
  private EventLoop selfDelivery;

  private volatile io.netty.channel.Channel serverChannel;

  private NettyPeerTransport(
      PeerSettings settings,
      Function<HostId, Option<InetSocketAddress>> resolver,
      InstantSource clock,
      SecureRandom random) {
    this.settings = settings;
    this.resolver = resolver;
    this.clock = clock;
    this.random = random;
  }

  /** Returns a transport that looks up the address of a host in {@code resolver} on each dial. */
  public static NettyPeerTransport of(
      PeerSettings settings,
      Function<HostId, Option<InetSocketAddress>> resolver,
      InstantSource clock,
      SecureRandom random) {
    return new NettyPeerTransport(settings, resolver, clock, random);
  }

  @Override
  public synchronized void start() {
    group = new NioEventLoopGroup(settings.threads(), new DefaultThreadFactory("peer", true));
    selfDelivery = group.next();
    serverChannel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(initializer(this::initializeInbound))
            .bind(settings.listen())
            .syncUninterruptibly()
            .channel();
    long intervalMillis = Math.max(1, settings.heartbeatInterval().toMillis() / 2);
    group.scheduleAtFixedRate(
        this::maintainLinks, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Returns the address on which this host accepts connections from other hosts. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Returns the statistics since the transport was created. */
  public PeerStatistics statistics() {
    return counters.snapshot();
  }

  @Override
  public void setHandler(PeerChannel channel, PeerHandler handler) {
    handlers.register(channel, handler);
  }

  @Override
  public void send(HostId to, PeerChannel channel, byte[] payload) {
    if (serverChannel == null || payload.length > maxPayload()) {
      LOG.write(Event.PEER_MESSAGE_REFUSED, channel, to, payload.length);
      counters.dropped.increment();
    } else if (to.equals(settings.self())) {
      selfDelivery.execute(() -> handlers.deliver(to, channel.number(), payload));
    } else {
      links.computeIfAbsent(to, this::newLink).send(channel.number(), payload);
    }
  }

  private int maxPayload() {
    return settings.maxFrameBytes() - Handshake.MAX_FRAME_BYTES;
  }

  private Link newLink(HostId to) {
    return new Link(to, settings, clock, random, counters, this::dial);
  }

  private void maintainLinks() {
    links.values().forEach(Link::maintain);
    links.values().removeIf(l -> !l.isOpen() && resolver.apply(l.host()).isEmpty());
  }

  private void dial(Link link, long attempt) {
    Option<InetSocketAddress> address = resolver.apply(link.host());
    if (address.isEmpty() || group.isShuttingDown()) {
      link.onClosed(attempt);
      return;
    }
    counters.dials.increment();
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeout().toMillis())
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
        .handler(initializer(c -> initializeOutbound(c, link, attempt)))
        .connect(address.get())
        .addListener(f -> onConnectResult(f.isSuccess(), link, attempt));
  }

  private void onConnectResult(boolean connected, Link link, long attempt) {
    if (!connected) {
      link.onClosed(attempt);
    }
  }

  private WriteBufferWaterMark waterMark() {
    return new WriteBufferWaterMark(settings.maxQueuedBytes() / 2, settings.maxQueuedBytes());
  }

  private void initializeOutbound(SocketChannel connection, Link link, long attempt) {
    Runnable onAuthenticated = () -> link.onAuthenticated(attempt, connection);
    connection
        .pipeline()
        .addLast(new DialHandshake(settings, random, link.host(), onAuthenticated))
        .addLast(
            new HeartbeatAnswerHandler(
                link.host(), counters, n -> link.onHeartbeatAnswer(attempt, n)));
    connection.closeFuture().addListener(f -> link.onClosed(attempt));
  }

  private void initializeInbound(SocketChannel connection) {
    if (unauthenticated.incrementAndGet() > MAX_UNAUTHENTICATED) {
      onHandshakeFailed();
      connection.close();
      return;
    }
    connection
        .pipeline()
        .addLast(
            new AcceptHandshake(
                settings,
                random,
                from -> startReceiving(connection, from),
                this::onHandshakeFailed));
  }

  private void onHandshakeFailed() {
    unauthenticated.decrementAndGet();
    counters.refused.increment();
  }

  private void startReceiving(SocketChannel connection, HostId from) {
    unauthenticated.decrementAndGet();
    long idleMillis = settings.idleTimeout().toMillis() * 2;
    connection
        .pipeline()
        .addLast(new IdleStateHandler(idleMillis, 0, 0, TimeUnit.MILLISECONDS))
        .addLast(new InboundMessageHandler(from, handlers, counters, answers));
  }

  @Override
  public synchronized void stop() {
    if (serverChannel == null) {
      return;
    }
    serverChannel.close().syncUninterruptibly();
    group
        .shutdownGracefully(0, STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT.toMillis());
    serverChannel = null;
  }

  private static ChannelInitializer<SocketChannel> initializer(Consumer<SocketChannel> initialize) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel connection) {
        connection
            .pipeline()
            .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
            .addLast("frames", Frames.decoder(Handshake.MAX_FRAME_BYTES));
        initialize.accept(connection);
      }
    };
  }

  /** Answers heartbeats with messages on the connection to the same host. */
  private final class LinkAnswers implements HeartbeatAnswers {
    @Override
    public boolean offer(HostId host, long sequence) {
      Link link = links.get(host);
      return link != null && link.offerAnswer(sequence);
    }

    @Override
    public boolean withdraw(HostId host, long sequence) {
      Link link = links.get(host);
      return link == null || link.withdrawAnswer(sequence);
    }

    @Override
    public void onAnswer(HostId host, long sequence) {
      Link link = links.get(host);
      if (link != null) {
        link.onHeartbeatAnswer(sequence);
      }
    }
  }
}
