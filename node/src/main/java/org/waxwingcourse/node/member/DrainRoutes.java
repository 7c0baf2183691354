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

/** Refuses new requests while the node drains; stands before the routes that serve callers. */
public final class DrainRoutes implements Routes {
  private static final Duration COME_BACK = Duration.ofSeconds(1);
  private static final String MESSAGE = "this host stops; ask GET /v1/hosts for others";

  private final BooleanSupplier open;
  private final InstantSource clock;

  /** Returns routes that let requests pass while {@code open} holds. */
  public DrainRoutes(BooleanSupplier open, InstantSource clock) {
    this.open = open;
    this.clock = clock;
  }

  @Override
  public void addTo(Chain chain) {
    chain.all(this::handle);
  }

  private void handle(Context context) {
    if (open.getAsBoolean()) {
      context.next();
      return;
    }
    Refusal refusal =
        new Refusal(RefusalCode.UNAVAILABLE, MESSAGE, clock.instant().plus(COME_BACK));
    context.getResponse().getHeaders().set("Connection", "close");
    ApiError.of(refusal).send(context, clock.instant());
  }
}
