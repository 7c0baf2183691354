package org.waxwingcourse.http.server;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.concurrent.CompletableFuture;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/**
 * Handles the requests of one connection one after another. Ratpack starts pipelined requests at
 * once and sends each response as soon as it is there, but a client takes responses in the order of
 * its requests.
 */
final class ConnectionOrder {
  private static final AttributeKey<CompletableFuture<Void>> LAST_REQUEST =
      AttributeKey.valueOf(ConnectionOrder.class, "lastRequest");

  private ConnectionOrder() {}

  /** Passes a request on once the one before it on the same connection has its response. */
  static void await(Context context) {
    Channel channel = context.getDirectChannelAccess().getChannel();
    CompletableFuture<Void> own = new CompletableFuture<>();
    CompletableFuture<Void> previous = channel.attr(LAST_REQUEST).getAndSet(own);
    context.onClose(outcome -> own.complete(null));
    if (previous == null || previous.isDone()) {
      context.next();
      return;
    }
    Promise.<Void>async(downstream -> previous.thenRun(() -> downstream.success(null)))
        .then(nothing -> context.next());
  }
}
