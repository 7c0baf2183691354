package org.waxwingcourse.node.member;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.node.web.ApiError;
import org.waxwingcourse.node.web.Routes;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Counts the requests that callers have underway, and refuses new ones while the node drains. */
public final class RequestsUnderway implements Routes {
  private static final Duration COME_BACK = Duration.ofSeconds(1);
  private static final String MESSAGE = "this host stops; ask GET /v1/hosts for others";

  private final AtomicInteger count = new AtomicInteger();
  private final BooleanSupplier open;
  private final InstantSource clock;

  /** Returns a count; new requests are taken while {@code open} holds. */
  public RequestsUnderway(BooleanSupplier open, InstantSource clock) {
    this.open = open;
    this.clock = clock;
  }

  /** Returns how many requests are underway. */
  public int count() {
    return count.get();
  }

  @Override
  public void addTo(Chain chain) {
    chain.all(this::handle);
  }

  private void handle(Context context) {
    count.incrementAndGet();
    context.onClose(outcome -> count.decrementAndGet());
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
