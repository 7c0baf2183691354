package org.waxwingcourse.fleet.reach;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.fleet.FleetNode;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.model.request.Outcome;

/**
 * Random hosts are cut off from engines, stop and start again, under steady requests. {@code
 * -Dwaxwing.reach.seeds=FIRST-LAST} sets other seeds by hand.
 */
class ReachSoakTest extends FleetOfHosts {
  private static final int HOSTS = 5;
  private static final int MIN_RUNNING = 3;
  private static final Duration FAULTS = Duration.ofSeconds(8);
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(20);
  private static final Duration TIME_LIMIT = Duration.ofSeconds(3);
  private static final Duration MARGIN = Duration.ofSeconds(1);
  private static final Duration RECOVERY = Duration.ofSeconds(3);

  private final List<Sent> sent = new ArrayList<>();
  private final List<Integer> stopped = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();

  /** A request and the process that was to answer it. */
  private record Sent(
      int number, FleetNode process, Route route, CompletableFuture<Long> endedAfterMillis) {}

  ReachSoakTest() {
    super(HOSTS);
  }

  static LongStream seeds() {
    String range = System.getProperty("waxwing.reach.seeds", "1-2");
    String[] bounds = range.split("-");
    return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void answersAreWholeAndInTimeUnderFaultsOfSeed(long seed) throws Exception {
    Random random = new Random(seed);
    injectFaults(random);
    assertThat(countRelayed()).as("relayed under %s", faults).isPositive();
    IntStream.range(0, HOSTS).forEach(h -> cut(CutOffEngines.Cut.NONE, h));
    for (int host : List.copyOf(stopped)) {
      restart(host);
    }
    Thread.sleep(RECOVERY.toMillis());
    assertThat(hosts).as("after %s", faults).allMatch(FleetNode::isReady);
    List<Outcome> after = serveAll(List.of(0, 1, 2, 3, 4), 100, REQUEST_INTERVAL);
    assertThat(after).as("after %s", faults).allMatch(Outcome.Done.class::isInstance);
    assertOutcomesInTime();
    assertThat(brokenAnswers).as("after %s", faults).isEmpty();
    assertThat(runs())
        .as("after %s", faults)
        .allSatisfy(
            (id, count) -> {
              if (id.startsWith(ONCE.name())) {
                assertThat(count).as(id).isEqualTo(1);
              }
            });
  }

  private void injectFaults(Random random) throws Exception {
    long start = System.nanoTime();
    long nextFault = 0;
    long elapsed = 0;
    while (elapsed < FAULTS.toMillis()) {
      if (elapsed >= nextFault) {
        injectFault(random, elapsed);
        nextFault = elapsed + 150 + random.nextInt(600);
      }
      send(random);
      Thread.sleep(REQUEST_INTERVAL.toMillis());
      elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }
  }

  private void injectFault(Random random, long atMillis) throws Exception {
    int host = random.nextInt(HOSTS);
    String fault;
    switch (random.nextInt(6)) {
      case 0, 1 -> {
        cut(CutOffEngines.Cut.REFUSED, host);
        fault = "refused";
      }
      case 2, 3 -> {
        cut(CutOffEngines.Cut.SILENT, host);
        fault = "silent";
      }
      case 4 -> {
        cut(CutOffEngines.Cut.NONE, host);
        fault = "healed";
      }
      default -> fault = stopOrRestart(host);
    }
    faults.add(atMillis + " ms: " + host + " " + fault);
  }

  private String stopOrRestart(int host) throws Exception {
    if (stopped.contains(host)) {
      restart(host);
      return "restarted";
    }
    if (HOSTS - stopped.size() <= MIN_RUNNING) {
      return "kept";
    }
    stopped.add(host);
    stopHost(host);
    return "stopped";
  }

  private void restart(int host) throws Exception {
    restartHost(host);
    stopped.remove(Integer.valueOf(host));
  }

  private void send(Random random) {
    int host = random.nextInt(HOSTS);
    Route route = random.nextBoolean() ? STREAMS : ONCE;
    if (stopped.contains(host) || !hosts.get(host).isReady()) {
      return;
    }
    long sentAt = System.nanoTime();
    CompletableFuture<Long> ended =
        serve(host, route, Option.some(TIME_LIMIT))
            .thenApply(o -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
    sent.add(new Sent(sent.size(), hosts.get(host), route, ended));
  }

  /** A stopped process answers nobody; its callers saw their connections close. */
  private void assertOutcomesInTime() {
    assertThat(sent).isNotEmpty();
    assertThat(sent.stream().filter(s -> hosts.contains(s.process)))
        .as("after %s", faults)
        .isNotEmpty()
        .allMatch(s -> s.endedAfterMillis.isDone(), "ended")
        .allMatch(
            s -> s.endedAfterMillis.join() < TIME_LIMIT.plus(MARGIN).toMillis(), "ended in time");
  }
}
