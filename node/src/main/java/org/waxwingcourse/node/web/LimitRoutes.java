package org.waxwingcourse.node.web;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingcourse.http.server.HeaderSize;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Limits the header size, the caller connections and the requests in progress; registered before
 * all other routes. A connection is counted from its first request.
 */
public final class LimitRoutes implements Routes {
  private static final AttributeKey<Boolean> COUNTED = AttributeKey.valueOf("waxwing.counted");
  private static final int RETRY_DELAY_SECONDS = 1;
  private static final int HEADER_TOO_LARGE = 431;

  private final InstantSource clock;
  private final int maxHeaderBytes;
  private final int maxConnections;
  private final int maxRequests;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();

  /** Creates routes with the given limits. */
  public LimitRoutes(InstantSource clock, int maxHeaderBytes, int maxConnections, int maxRequests) {
    this.clock = clock;
    this.maxHeaderBytes = maxHeaderBytes;
    this.maxConnections = maxConnections;
    this.maxRequests = maxRequests;
  }

  @Override
  public void addTo(Chain chain) {
    chain.all(this::checkLimits);
  }

  /** Returns the number of requests in progress. */
  public int requestsInProgress() {
    return requests.get();
  }

  private void checkLimits(Context context) {
    countConnection(context.getDirectChannelAccess().getChannel());
    requests.incrementAndGet();
    context.onClose(outcome -> requests.decrementAndGet());
    if (HeaderSize.of(context.getRequest().getHeaders()) > maxHeaderBytes) {
      headerTooLarge().send(context, clock.instant());
    } else if (connections.get() > maxConnections) {
      context.getResponse().getHeaders().set("Connection", "close");
      reject(context, "this host has reached its limit of " + maxConnections + " connections");
    } else if (requests.get() > maxRequests) {
      reject(
          context, "this host has reached its limit of " + maxRequests + " requests in progress");
    } else {
      context.next();
    }
  }

  private void countConnection(Channel channel) {
    if (channel.attr(COUNTED).setIfAbsent(true) == null) {
      connections.incrementAndGet();
      channel.closeFuture().addListener(closed -> connections.decrementAndGet());
    }
  }

  private ApiError headerTooLarge() {
    String message = "the header exceeds " + maxHeaderBytes + " bytes";
    return new ApiError(HEADER_TOO_LARGE, "header_too_large", message, ApiError.Run.NOT_RUN, null);
  }

  private void reject(Context context, String message) {
    Refusal refusal =
        new Refusal(
            RefusalCode.OVERLOADED, message, clock.instant().plusSeconds(RETRY_DELAY_SECONDS));
    ApiError.of(refusal).send(context, clock.instant());
  }
}
