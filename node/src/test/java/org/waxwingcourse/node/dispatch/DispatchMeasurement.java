package org.waxwingcourse.node.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.standin.engine.EngineOptions;

/**
 * Measures online latency without and with batch load on engine stand-ins, in one run. Not part of
 * the regular tests, because it measures time: {@code mvn test -pl node -am
 * -Dtest=DispatchMeasurement}.
 */
class DispatchMeasurement {
  private static final int HOSTS = 3;
  private static final int ENGINES = 6;
  private static final int SLOTS = 16;
  private static final double REQUESTS_PER_SECOND = 9;
  private static final double WARM_UP_SECONDS = 20;
  private static final double PHASE_SECONDS = 60;

  private final ConcurrentLinkedQueue<Double> firstTokenMillis = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Double> tokenGapMillis = new ConcurrentLinkedQueue<>();
  private final AtomicInteger refusedRequests = new AtomicInteger();
  private final AtomicLong batchChunks = new AtomicLong();
  private final AtomicInteger sequence = new AtomicInteger();

  @ParameterizedTest
  @CsvSource({"questions, 1000", "notes, 3000"})
  void batchOffAndOn(String deployment, long oneWayMicros) {
    EngineOptions options =
        EngineOptions.of(DispatchFleet.MODEL.value())
            .withSteps(Duration.ofMillis(20), Duration.ofNanos(500_000), Duration.ofNanos(50_000))
            .withDelay(Duration.ofNanos(oneWayMicros * 1000));
    try (DispatchFleet fleet = new DispatchFleet(HOSTS, ENGINES, SLOTS, options)) {
      online(fleet, WARM_UP_SECONDS);
      double[] off = phase(fleet);
      AtomicBoolean running = new AtomicBoolean(true);
      for (int i = 0; i < 2 * SLOTS * ENGINES; i++) {
        batch(fleet, running);
      }
      online(fleet, WARM_UP_SECONDS);
      batchChunks.set(0);
      double[] on = phase(fleet);
      long chunks = batchChunks.get();
      running.set(false);
      System.out.printf(
          "%s: on/off first p95 %.3f p99 %.3f, between p95 %.3f p99 %.3f;"
              + " off %s on %s ms; batch chunks %d, refused %d%n",
          deployment,
          on[0] / off[0],
          on[1] / off[1],
          on[2] / off[2],
          on[3] / off[3],
          Arrays.toString(off),
          Arrays.toString(on),
          chunks,
          refusedRequests.get());
      assertThat(chunks).isPositive();
    }
  }

  private double[] phase(DispatchFleet fleet) {
    firstTokenMillis.clear();
    tokenGapMillis.clear();
    online(fleet, PHASE_SECONDS);
    return new double[] {
      percentile(firstTokenMillis, 0.95),
      percentile(firstTokenMillis, 0.99),
      percentile(tokenGapMillis, 0.95),
      percentile(tokenGapMillis, 0.99)
    };
  }

  /** Sends requests by schedule, independently of the answers (open loop). */
  private void online(DispatchFleet fleet, double seconds) {
    Random random = new Random(5);
    long at = System.nanoTime();
    long end = at + (long) (seconds * 1e9);
    while (at < end) {
      at += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / REQUESTS_PER_SECOND);
      while (System.nanoTime() < at) {
        LockSupport.parkNanos(at - System.nanoTime());
      }
      int number = sequence.incrementAndGet();
      int tokens = 50 + random.nextInt(200);
      Latency listener = new Latency(at);
      fleet
          .hosts
          .get(number % HOSTS)
          .submit(fleet.request("o" + number, WorkClass.ONLINE, true, tokens), listener);
    }
  }

  private void batch(DispatchFleet fleet, AtomicBoolean running) {
    int number = sequence.incrementAndGet();
    fleet
        .hosts
        .get(number % HOSTS)
        .submit(
            fleet.request("b" + number, WorkClass.BATCH, true, 200),
            new AnswerListener() {
              @Override
              public void onStart(int status, String contentType) {}

              @Override
              public void onChunk(byte[] bytes) {
                batchChunks.incrementAndGet();
              }

              @Override
              public void onEnd(Outcome outcome) {
                if (running.get()) {
                  fleet.runLater(100, () -> batch(fleet, running));
                }
              }
            });
  }

  private static double percentile(ConcurrentLinkedQueue<Double> values, double share) {
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get((int) Math.min(sorted.size() - 1L, Math.round(share * sorted.size())));
  }

  /** Measures the times between the parts of one online answer, from its scheduled start. */
  private final class Latency implements AnswerListener {
    private final long scheduled;
    private long last;

    private Latency(long scheduled) {
      this.scheduled = scheduled;
    }

    @Override
    public void onStart(int status, String contentType) {}

    @Override
    public void onChunk(byte[] bytes) {
      long now = System.nanoTime();
      if (last == 0) {
        firstTokenMillis.add((now - scheduled) / 1e6);
      } else {
        tokenGapMillis.add((now - last) / 1e6);
      }
      last = now;
    }

    @Override
    public void onEnd(Outcome outcome) {
      if (outcome instanceof Outcome.Refused) {
        refusedRequests.incrementAndGet();
      }
    }
  }
}
