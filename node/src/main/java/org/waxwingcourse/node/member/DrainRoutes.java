package org.waxwingcourse.node.member;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.node.web.ApiError;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Rejects new requests while the node drains; registered before the routes that serve callers. */
public final class DrainRoutes implements Routes {
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final String MESSAGE =
      "this host is shutting down; request GET /v1/hosts for other hosts";

  private final BooleanSupplier acceptsRequests;
  private final InstantSource clock;

  /** Creates routes that pass requests on while {@code acceptsRequests} returns true. */
  public DrainRoutes(BooleanSupplier acceptsRequests, InstantSource clock) {
    this.acceptsRequests = acceptsRequests;
    this.clock = clock;
  }

  @Override
  public void addTo(Chain chain) {
    chain.all(this::handle);
  }

  private void handle(Context context) {
    if (acceptsRequests.getAsBoolean()) {
      context.next();
      return;
    }
    Refusal refusal =
        new Refusal(RefusalCode.UNAVAILABLE, MESSAGE, clock.instant().plus(RETRY_DELAY));
    context.getResponse().getHeaders().set("Connection", "close");
    ApiError.of(refusal).send(context, clock.instant());
  }
}
