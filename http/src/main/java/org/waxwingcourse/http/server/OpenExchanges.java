package org.waxwingcourse.http.server;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import ratpack.handling.Context;

/** Counts the requests whose response has not been written to its connection yet. */
public final class OpenExchanges {
  private final AtomicInteger count = new AtomicInteger();

  /** Counts a request until its response has been written, or its connection is closed. */
  public void add(Context context) {
    count.incrementAndGet();
    Channel channel = context.getDirectChannelAccess().getChannel();
    AtomicBoolean open = new AtomicBoolean(true);
    Runnable end =
        () -> {
          if (open.compareAndSet(true, false)) {
            count.decrementAndGet();
          }
        };
    GenericFutureListener<Future<Void>> onClose = closed -> end.run();
    channel.closeFuture().addListener(onClose);
    context.onClose(
        outcome -> {
          end.run();
          channel.closeFuture().removeListener(onClose);
        });
  }

  /** Returns the number of such requests. */
  public int count() {
    return count.get();
  }
}
