package org.waxwingcourse.standin.web;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import ratpack.handling.Context;

/** The open connections of a stand-in, which can be reset or made silent permanently. */
public final class OpenConnections {
  private static final AttributeKey<Boolean> REGISTERED = AttributeKey.valueOf("waxwing.known");

  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Duration oneWayDelay;

  OpenConnections(Duration oneWayDelay) {
    this.oneWayDelay = oneWayDelay;
  }

  /** Resets the connection of a request without a response. */
  public static void reset(Context ctx) {
    reset(channelOf(ctx));
  }

  /** Resets all open connections. */
  public void resetAll() {
    channels.forEach(OpenConnections::reset);
  }

  /** Makes the currently open connections discard all data in both directions. */
  public void silenceAll() {
    channels.forEach(channel -> channel.pipeline().addFirst(new DiscardHandler()));
  }

  void register(Context ctx) {
    Channel channel = channelOf(ctx);
    if (channel.attr(REGISTERED).getAndSet(true) == null) {
      channels.add(channel);
      if (!oneWayDelay.isZero()) {
        channel.pipeline().addFirst(new OutboundDelayHandler(oneWayDelay));
      }
    }
  }

  private static Channel channelOf(Context ctx) {
    return ctx.getDirectChannelAccess().getChannel();
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private static final class DiscardHandler extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ReferenceCountUtil.release(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      promise.trySuccess();
    }
  }

  private static final class OutboundDelayHandler extends ChannelDuplexHandler {
    private final Duration delay;

    OutboundDelayHandler(Duration delay) {
      this.delay = delay;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ctx.executor()
          .schedule(
              () -> ctx.writeAndFlush(message, promise), delay.toNanos(), TimeUnit.NANOSECONDS);
    }
  }
}
