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
 * Messages between hosts over TCP: length-framed protobuf, one connection for each direction,
 * opened by the sender after both ends have proved that they know the fleet secret.
 *
 * <p>Delivery is at most once. A message is lost when its host cannot be reached, when the backlog
 * towards it is full, or when its connection ends or goes silent underway; it is never sent twice.
 * Whatever must arrive is acknowledged by its own subsystem, and whatever is repeated for that
 * reason must be recognised by its receiver. Messages on one connection arrive in order; a message
 * on a replaced connection may be overtaken by one on its successor.
 *
 * <p>Each link has its own lock. Handlers run on network threads and must not block.
 */
public final class NettyPeers implements Peers, Service {
  private static final EventLog LOG = EventLog.of(NettyPeers.class);
  private static final int MAX_UNPROVEN = 1024;
  private static final int FLUSH_AFTER_FRAMES = 64;
  private static final Duration STOP_LIMIT = Duration.ofSeconds(2);

  private final PeerSettings settings;
  private final Function<HostId, Option<InetSocketAddress>> resolver;
  private final InstantSource clock;
  private final SecureRandom random;
  private final Counters counters = new Counters();
  private final HandlerTable handlers = new HandlerTable();
  private final ConcurrentMap<HostId, Link> links = new ConcurrentHashMap<>();
  private final AtomicInteger unproven = new AtomicInteger();
  private NioEventLoopGroup group;

  /** One thread delivers what a host sends to itself, so that it comes in order. */
  private EventLoop toSelf;

  private volatile io.netty.channel.Channel listener;

  private NettyPeers(
      PeerSettings settings,
      Function<HostId, Option<InetSocketAddress>> resolver,
      InstantSource clock,
      SecureRandom random) {
    this.settings = settings;
    this.resolver = resolver;
    this.clock = clock;
    this.random = random;
  }

  /** Returns a transport that asks {@code resolver} where a host listens each time it dials. */
  public static NettyPeers of(
      PeerSettings settings,
      Function<HostId, Option<InetSocketAddress>> resolver,
      InstantSource clock,
      SecureRandom random) {
    return new NettyPeers(settings, resolver, clock, random);
  }

  @Override
  public synchronized void start() {
    group = new NioEventLoopGroup(settings.threads(), new DefaultThreadFactory("peer", true));
    toSelf = group.next();
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(initializer(this::accept))
            .bind(settings.listen())
            .syncUninterruptibly()
            .channel();
    long millis = Math.max(1, settings.heartbeatInterval().toMillis() / 2);
    group.scheduleAtFixedRate(this::tick, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Returns the address on which other hosts reach this one. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns the counts since the start. */
  public PeerStatistics statistics() {
    return counters.read();
  }

  @Override
  public void handle(Channel channel, PeerHandler handler) {
    handlers.put(channel, handler);
  }

  @Override
  public void send(HostId to, Channel channel, byte[] payload) {
    if (listener == null || payload.length > maxPayload()) {
      LOG.write(Event.PEER_MESSAGE_REFUSED, channel, to, payload.length);
      counters.dropped.increment();
    } else if (to.equals(settings.self())) {
      toSelf.execute(() -> handlers.deliver(to, channel.number(), payload));
    } else {
      links.computeIfAbsent(to, this::link).send(Frames.encode(channel.number(), payload));
    }
  }

  private int maxPayload() {
    return settings.maxFrameBytes() - Handshake.MAX_BYTES;
  }

  private Link link(HostId to) {
    return new Link(to, settings, clock, random, counters, this::dial);
  }

  private void tick() {
    links.values().forEach(Link::tick);
    links.values().removeIf(l -> !l.open() && resolver.apply(l.to()).isEmpty());
  }

  private void dial(Link link, long attempt) {
    Option<InetSocketAddress> address = resolver.apply(link.to());
    if (address.isEmpty() || group.isShuttingDown()) {
      link.ended(attempt);
      return;
    }
    counters.dials.increment();
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectLimit().toMillis())
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
        .handler(initializer(c -> prepareDial(c, link, attempt)))
        .connect(address.get())
        .addListener(f -> onConnect(f.isSuccess(), link, attempt));
  }

  private void onConnect(boolean connected, Link link, long attempt) {
    if (!connected) {
      link.ended(attempt);
    }
  }

  private WriteBufferWaterMark waterMark() {
    return new WriteBufferWaterMark(settings.maxQueuedBytes() / 2, settings.maxQueuedBytes());
  }

  private void prepareDial(SocketChannel connection, Link link, long attempt) {
    Runnable onProven = () -> link.opened(attempt, connection);
    connection
        .pipeline()
        .addLast(new DialHandshake(settings, random, link.to(), onProven))
        .addLast(new OutboundFrames(link.to(), counters, n -> link.answered(attempt, n)));
    connection.closeFuture().addListener(f -> link.ended(attempt));
  }

  private void accept(SocketChannel connection) {
    if (unproven.incrementAndGet() > MAX_UNPROVEN) {
      refused();
      connection.close();
      return;
    }
    connection
        .pipeline()
        .addLast(
            new AcceptHandshake(settings, random, from -> serve(connection, from), this::refused));
  }

  private void refused() {
    unproven.decrementAndGet();
    counters.refused.increment();
  }

  private void serve(SocketChannel connection, HostId from) {
    unproven.decrementAndGet();
    long idle = settings.idleLimit().toMillis() * 2;
    connection
        .pipeline()
        .addLast(new IdleStateHandler(idle, 0, 0, TimeUnit.MILLISECONDS))
        .addLast(new InboundFrames(from, handlers, counters));
  }

  @Override
  public synchronized void stop() {
    if (listener == null) {
      return;
    }
    listener.close().syncUninterruptibly();
    group
        .shutdownGracefully(0, STOP_LIMIT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_LIMIT.toMillis());
    listener = null;
  }

  private static ChannelInitializer<SocketChannel> initializer(Consumer<SocketChannel> prepare) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel connection) {
        connection
            .pipeline()
            .addLast(new FlushConsolidationHandler(FLUSH_AFTER_FRAMES, true))
            .addLast("frames", Frames.decoder(Handshake.MAX_BYTES));
        prepare.accept(connection);
      }
    };
  }
}
