package org.waxwingcourse.policy.trust;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * Replays arrivals that a fleet recorded through the admission classes of the node and compares the
 * results with the expected outcomes. Traces and outcomes are data files; traces are written by a
 * node.
 */
class TraceReplayTest {
  private static final Path TRACES = Path.of("src", "test", "resources", "traces");
  private static final Duration WARM_UP = Duration.ofSeconds(30);
  private static final String ANY = "any";
  private static final long SEED = 1;
  private static final double MILLIS_PER_SECOND = 1000;

  /** A recorded request. */
  record Arrival(long millis, int host, OrganisationId organisation) {}

  /** The expected outcome of one organisation in one trace. */
  record ExpectedOutcome(
      String trace,
      OrganisationId organisation,
      Rate rate,
      int maxRejected,
      double minAdmittedShare) {}

  static Stream<ExpectedOutcome> outcomes() throws IOException {
    return lines("outcomes.csv")
        .map(
            c ->
                new ExpectedOutcome(
                    c[0],
                    OrganisationId.of(c[1]),
                    Rate.of(Double.parseDouble(c[2]), Integer.parseInt(c[3])),
                    c[4].equals(ANY) ? Integer.MAX_VALUE : Integer.parseInt(c[4]),
                    Double.parseDouble(c[5])));
  }

  @ParameterizedTest
  @MethodSource("outcomes")
  void replayedTraceHasTheExpectedOutcome(ExpectedOutcome expected) throws IOException {
    List<Arrival> trace =
        lines(expected.trace() + ".csv")
            .map(c -> new Arrival(Long.parseLong(c[0]), hostIndex(c[1]), OrganisationId.of(c[2])))
            .filter(a -> a.organisation().equals(expected.organisation()))
            .toList();
    ReferenceBucket reference = new ReferenceBucket(expected.rate());
    SimulatedRateFleet rates = fleet(expected);
    long nowMillis = 0;
    for (Arrival arrival : trace) {
      rates.fleet.run(Duration.ofMillis(arrival.millis() - nowMillis));
      nowMillis = arrival.millis();
      Runnable onRejection = reference.offer(arrival.millis());
      rates.offer(arrival.host(), expected.organisation(), onRejection);
    }
    rates.fleet.run(Duration.ofSeconds(1));
    int admitted = rates.histories.get(expected.organisation()).size();
    double entitled =
        expected.rate().burst() + expected.rate().perSecond() * nowMillis / MILLIS_PER_SECOND;
    assertThat(rates.overrun(expected.organisation(), expected.rate())).isLessThanOrEqualTo(0);
    assertThat(admitted / entitled).isGreaterThanOrEqualTo(expected.minAdmittedShare());
    assertThat(reference.wrongRejections).isLessThanOrEqualTo(expected.maxRejected());
  }

  private static SimulatedRateFleet fleet(ExpectedOutcome expected) {
    String declared =
        expected.organisation() + ":" + expected.rate().perSecond() + ":" + expected.rate().burst();
    SimulatedRateFleet rates = SimulatedRateFleet.withLending(3, SEED, declared);
    rates.fleet.run(WARM_UP);
    return rates;
  }

  /**
   * A single token bucket for the whole fleet, which determines the requests that are within the
   * rate.
   */
  private static final class ReferenceBucket {
    private final Rate rate;
    private double tokens;
    private long lastMillis;
    private int wrongRejections;

    ReferenceBucket(Rate rate) {
      this.rate = rate;
      this.tokens = rate.burst();
    }

    Runnable offer(long millis) {
      tokens =
          Math.min(
              rate.burst(), tokens + (millis - lastMillis) * rate.perSecond() / MILLIS_PER_SECOND);
      lastMillis = millis;
      if (tokens < 1) {
        return () -> {};
      }
      tokens--;
      return () -> wrongRejections++;
    }
  }

  private static int hostIndex(String name) {
    return Integer.parseInt(name.substring("host-".length())) - 1;
  }

  private static Stream<String[]> lines(String file) throws IOException {
    return Files.readAllLines(TRACES.resolve(file)).stream()
        .filter(line -> !line.startsWith("#"))
        .map(line -> line.split(","));
  }
}
