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
 * Measures what the way through a node adds to an engine's own answer: to the engine directly, to
 * the node that owns it (one hop) and to another node (two hops), in turn, in one run. Requests are
 * sent by schedule and timed from their scheduled instant. Not part of the usual run, because it
 * measures time: {@code bin/measure-way}.
 */
public final class WayThroughCost {
  private static final int ROUNDS = 3;
  private static final double SECONDS = 8;
  private static final double PER_SECOND = 20;
  private static final int TOKENS = 50;
  private static final long HIGHEST_MICROS = 60_000_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private WayThroughCost() {}

  /** Figures of one way, gathered over all rounds. */
  private static final class Way {
    private final String name;
    private final URI target;
    private final ConcurrentHistogram first = new ConcurrentHistogram(HIGHEST_MICROS, 3);
    private final ConcurrentHistogram whole = new ConcurrentHistogram(HIGHEST_MICROS, 3);
    private long processorNanos;
    private int requests;

    Way(String name, URI target) {
      this.name = name;
      this.target = target;
    }

    double processorMicrosPerToken() {
      return processorNanos / 1e3 / ((double) requests * TOKENS);
    }
  }

  /** Prints the table. */
  public static void main(String[] arguments) {
    try (TestFleet fleet = TestFleet.start(1, 2)) {
      fleet.apply(fleet.declarations(1000, 1000, TestFleet.KEY));
      WayThroughCost cost = new WayThroughCost();
      List<Way> ways =
          List.of(
              new Way("engine", fleet.engine(0).address()),
              new Way("node 1", fleet.url(0)),
              new Way("node 2", fleet.url(1)));
      ways.forEach(way -> cost.run(new Way("warm up", way.target)));
      for (int i = 0; i < ROUNDS; i++) {
        ways.forEach(cost::run);
      }
      ways.forEach(way -> print(way, ways.get(0)));
    }
    System.exit(0);
  }

  private static void print(Way way, Way direct) {
    System.out.printf(
        "%s: first token p50 %.2f p95 %.2f ms, whole p50 %.2f p95 %.2f ms (%.3f of direct),"
            + " processor %.1f us a token (%.2f of direct)%n",
        way.name,
        way.first.getValueAtPercentile(50) / 1e3,
        way.first.getValueAtPercentile(95) / 1e3,
        way.whole.getValueAtPercentile(50) / 1e3,
        way.whole.getValueAtPercentile(95) / 1e3,
        way.whole.getValueAtPercentile(50) / (double) direct.whole.getValueAtPercentile(50),
        way.processorMicrosPerToken(),
        way.processorMicrosPerToken() / direct.processorMicrosPerToken());
  }

  private void run(Way way) {
    long processor = processorNanos();
    List<CompletableFuture<?>> answers = new ArrayList<>();
    long spacing = (long) (1e9 / PER_SECOND);
    long at = System.nanoTime();
    for (int i = 0; i < SECONDS * PER_SECOND; i++) {
      at += spacing;
      while (System.nanoTime() < at) {
        LockSupport.parkNanos(at - System.nanoTime());
      }
      answers.add(send(way, at, i));
    }
    answers.forEach(CompletableFuture::join);
    way.requests += answers.size();
    way.processorNanos += processorNanos() - processor;
  }

  private CompletableFuture<?> send(Way way, long scheduled, int number) {
    String body =
        """
        {"model":"%s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"q %d"}]}
        """
            .formatted(TestFleet.MODEL, TOKENS, number);
    HttpRequest request =
        HttpRequest.newBuilder(way.target.resolve("/v1/chat/completions"))
            .header("Authorization", "Bearer " + TestFleet.KEY)
            .timeout(Duration.ofSeconds(30))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.fromLineSubscriber(new Lines(way, scheduled)))
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

  /** Times the first and the last line of a stream. */
  private static final class Lines implements Flow.Subscriber<String> {
    private final Way way;
    private final long scheduled;
    private final AtomicBoolean begun = new AtomicBoolean();

    Lines(Way way, long scheduled) {
      this.way = way;
      this.scheduled = scheduled;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
      subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      if (begun.compareAndSet(false, true)) {
        way.first.recordValue(micros());
      }
    }

    @Override
    public void onError(Throwable error) {
      throw new IllegalStateException(error);
    }

    @Override
    public void onComplete() {
      way.whole.recordValue(micros());
    }

    private long micros() {
      return (System.nanoTime() - scheduled) / 1000;
    }
  }
}
