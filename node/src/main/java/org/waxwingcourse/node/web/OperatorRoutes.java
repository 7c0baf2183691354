package org.waxwingcourse.node.web;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.node.metrics.MetricsJson;
import ratpack.handling.Chain;

/** {@code GET /metrics}, {@code GET /status} and {@code GET /ready} for operators. */
public final class OperatorRoutes implements Routes {
  private static final String JSON = "application/json";
  private static final int SERVICE_UNAVAILABLE = 503;

  private final MetricsJson metrics;
  private final Supplier<String> status;
  private final Supplier<Boolean> ready;

  /**
   * Creates the routes.
   *
   * @param registry the node's metrics
   * @param status returns the node's status as JSON
   * @param ready returns whether the node serves callers
   */
  public OperatorRoutes(MetricRegistry registry, Supplier<String> status, Supplier<Boolean> ready) {
    this.metrics = MetricsJson.of(registry);
    this.status = status;
    this.ready = ready;
  }

  @Override
  public void addTo(Chain chain) {
    chain.get("metrics", c -> c.getResponse().send(JSON, metrics.toJson().toString()));
    chain.get("status", c -> c.getResponse().send(JSON, status.get()));
    chain.get(
        "ready",
        c -> {
          boolean isReady = ready.get();
          c.getResponse().status(isReady ? 200 : SERVICE_UNAVAILABLE);
          c.getResponse().send(JSON, "{\"ready\":" + isReady + "}");
        });
  }
}
