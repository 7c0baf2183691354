package org.waxwingcourse.node;

import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Measures the overhead of nodes over direct requests to an engine: requests go to the engine, to
 * the node that owns it (one hop) and to another node (two hops), in turn, in one run. They are
 * sent by schedule and latencies are measured from the scheduled instant. Not part of the regular
 * tests, because it measures time: {@code bin/measure-way}.
 */
public final class WayThroughCost {
  private static final int ROUNDS = 3;
  private static final double ROUND_SECONDS = 8;
  private static final double REQUESTS_PER_SECOND = 20;
  private static final int TOKENS = 50;
  private static final long HIGHEST_MICROS = 60_000_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private WayThroughCost() {}

  /** Measurements of one route, collected over all rounds. */
  private static final class Route {
    private final String name;
    private final URI target;
    private final ConcurrentHistogram firstTokenMicros = new ConcurrentHistogram(HIGHEST_MICROS, 3);
    private final ConcurrentHistogram completeMicros = new ConcurrentHistogram(HIGHEST_MICROS, 3);
    private long processorNanos;
    private int requests;

    Route(String name, URI target) {
      this.name = name;
      this.target = target;
    }

    double processorMicrosPerToken() {
      return processorNanos / 1e3 / ((double) requests * TOKENS);
    }
  }

  /** Runs the measurement and prints one line for each route. */
  public static void main(String[] arguments) {
    try (TestFleet fleet = TestFleet.start(1, 2)) {
      fleet.apply(fleet.declarations(1000, 1000, TestFleet.KEY));
      WayThroughCost cost = new WayThroughCost();
      List<Route> routes =
          List.of(
              new Route("engine", fleet.engine(0).address()),
              new Route("node 1", fleet.url(0)),
              new Route("node 2", fleet.url(1)));
      routes.forEach(route -> cost.run(new Route("warm up", route.target)));
      for (int i = 0; i < ROUNDS; i++) {
        routes.forEach(cost::run);
      }
      routes.forEach(route -> print(route, routes.get(0)));
    }
    System.exit(0);
  }

  private static void print(Route route, Route direct) {
    System.out.printf(
        "%s: first token p50 %.2f p95 %.2f ms, whole p50 %.2f p95 %.2f ms (%.3f of direct),"
            + " processor %.1f us per token (%.2f of direct)%n",
        route.name,
        route.firstTokenMicros.getValueAtPercentile(50) / 1e3,
        route.firstTokenMicros.getValueAtPercentile(95) / 1e3,
        route.completeMicros.getValueAtPercentile(50) / 1e3,
        route.completeMicros.getValueAtPercentile(95) / 1e3,
        route.completeMicros.getValueAtPercentile(50)
            / (double) direct.completeMicros.getValueAtPercentile(50),
        route.processorMicrosPerToken(),
        route.processorMicrosPerToken() / direct.processorMicrosPerToken());
  }

  private void run(Route route) {
    long processor = processorNanos();
    List<CompletableFuture<?>> answers = new ArrayList<>();
    long spacing = (long) (1e9 / REQUESTS_PER_SECOND);
    long at = System.nanoTime();
    for (int i = 0; i < ROUND_SECONDS * REQUESTS_PER_SECOND; i++) {
      at += spacing;
      while (System.nanoTime() < at) {
        LockSupport.parkNanos(at - System.nanoTime());
      }
      answers.add(send(route, at, i));
    }
    answers.forEach(CompletableFuture::join);
    route.requests += answers.size();
    route.processorNanos += processorNanos() - processor;
  }

  private CompletableFuture<?> send(Route route, long scheduled, int number) {
    String body =
        """
        {"model":"%s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"q %d"}]}
        """
            .formatted(TestFleet.MODEL, TOKENS, number);
    HttpRequest request =
        HttpRequest.newBuilder(route.target.resolve("/v1/chat/completions"))
            .header("Authorization", "Bearer " + TestFleet.KEY)
            .timeout(Duration.ofSeconds(30))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client
        .sendAsync(
            request, HttpResponse.BodyHandlers.fromLineSubscriber(new Lines(route, scheduled)))
        .thenAccept(answer -> check(answer.statusCode()));
  }

  private static void check(int status) {
    if (status != 200) {
      throw new IllegalStateException("status " + status);
    }
  }

  private static long processorNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /** Records the latency of the first line and of the end of a stream. */
  private static final class Lines implements Flow.Subscriber<String> {
    private final Route route;
    private final long scheduled;
    private final AtomicBoolean firstLineSeen = new AtomicBoolean();

    Lines(Route route, long scheduled) {
      this.route = route;
      this.scheduled = scheduled;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
      subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      if (firstLineSeen.compareAndSet(false, true)) {
        route.firstTokenMicros.recordValue(micros());
      }
    }

    @Override
    public void onError(Throwable error) {
      throw new IllegalStateException(error);
    }

    @Override
    public void onComplete() {
      route.completeMicros.recordValue(micros());
    }

    private long micros() {
      return (System.nanoTime() - scheduled) / 1000;
    }
  }
}
