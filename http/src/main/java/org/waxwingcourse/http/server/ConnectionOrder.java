package org.waxwingcourse.http.server;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/**
 * Handles the requests of one connection one after another. Ratpack starts pipelined requests at
 * once and sends each response as soon as it is there, but a client takes responses in the order of
 * its requests.
 */
final class ConnectionOrder {
  /** Number of requests of one connection that may wait; beyond, the connection is closed. */
  static final int MAX_WAITING = 64;

  private static final AttributeKey<ConnectionOrder> OF_CHANNEL =
      AttributeKey.valueOf(ConnectionOrder.class, "order");

  private final Channel channel;
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicReference<CompletableFuture<Void>> last =
      new AtomicReference<>(CompletableFuture.completedFuture(null));

  private ConnectionOrder(Channel channel) {
    this.channel = channel;
  }

  /** Passes a request on once the one before it on the same connection has its response. */
  static void await(Context context) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    channel.attr(OF_CHANNEL).setIfAbsent(new ConnectionOrder(channel));
    channel.attr(OF_CHANNEL).get().awaitTurn(context);
  }

  private void awaitTurn(Context context) {
    if (unanswered.incrementAndGet() > MAX_WAITING) {
      channel.close();
    }
    if (!channel.isOpen()) {
      return;
    }
    CompletableFuture<Void> own = new CompletableFuture<>();
    CompletableFuture<Void> previous = last.getAndSet(own);
    context.onClose(
        outcome -> {
          unanswered.decrementAndGet();
          own.complete(null);
        });
    if (previous.isDone()) {
      context.next();
      return;
    }
    Promise.<Void>async(downstream -> previous.thenRun(() -> downstream.success(null)))
        .then(nothing -> nextIfOpen(context));
  }

  private void nextIfOpen(Context context) {
    if (channel.isOpen()) {
      context.next();
    }
  }
}
