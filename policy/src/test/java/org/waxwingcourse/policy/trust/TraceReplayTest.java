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
 * Replays the arrivals that a fleet recorded through the classes that admit in the node, and
 * compares with the stated outcomes. Traces and outcomes are data; a node writes traces.
 */
class TraceReplayTest {
  private static final Path TRACES = Path.of("src", "test", "resources", "traces");
  private static final Duration WARM_UP = Duration.ofSeconds(30);
  private static final String ANY = "any";
  private static final long SEED = 1;
  private static final double MILLIS = 1000;

  /** One recorded request. */
  record Arrival(long millis, int host, OrganisationId organisation) {}

  /** What is stated of one organisation in one trace. */
  record Stated(
      String trace, OrganisationId organisation, Rate rate, int mostRefused, double leastShare) {}

  static Stream<Stated> outcomes() throws IOException {
    return lines("outcomes.csv")
        .map(
            c ->
                new Stated(
                    c[0],
                    OrganisationId.of(c[1]),
                    Rate.of(Double.parseDouble(c[2]), Integer.parseInt(c[3])),
                    c[4].equals(ANY) ? Integer.MAX_VALUE : Integer.parseInt(c[4]),
                    Double.parseDouble(c[5])));
  }

  @ParameterizedTest
  @MethodSource("outcomes")
  void replayedTraceHasItsStatedOutcome(Stated stated) throws IOException {
    List<Arrival> trace =
        lines(stated.trace() + ".csv")
            .map(c -> new Arrival(Long.parseLong(c[0]), host(c[1]), OrganisationId.of(c[2])))
            .filter(a -> a.organisation().equals(stated.organisation()))
            .toList();
    Judge judge = new Judge(stated.rate());
    RateFleet rates = fleet(stated);
    long now = 0;
    for (Arrival arrival : trace) {
      rates.fleet.run(Duration.ofMillis(arrival.millis() - now));
      now = arrival.millis();
      Runnable refused = judge.offer(arrival.millis());
      rates.offer(arrival.host(), stated.organisation(), refused);
    }
    rates.fleet.run(Duration.ofSeconds(1));
    int admitted = rates.histories.get(stated.organisation()).size();
    double entitled = stated.rate().burst() + stated.rate().perSecond() * now / MILLIS;
    assertThat(rates.overrun(stated.organisation(), stated.rate())).isLessThanOrEqualTo(0);
    assertThat(admitted / entitled).isGreaterThanOrEqualTo(stated.leastShare());
    assertThat(judge.wrongful).isLessThanOrEqualTo(stated.mostRefused());
  }

  private static RateFleet fleet(Stated stated) {
    String declared =
        stated.organisation() + ":" + stated.rate().perSecond() + ":" + stated.rate().burst();
    RateFleet rates = RateFleet.chosen(3, SEED, declared);
    rates.fleet.run(WARM_UP);
    return rates;
  }

  /** One token bucket for the whole fleet, which says what is inside the rate. */
  private static final class Judge {
    private final Rate rate;
    private double tokens;
    private long last;
    private int wrongful;

    Judge(Rate rate) {
      this.rate = rate;
      this.tokens = rate.burst();
    }

    Runnable offer(long millis) {
      tokens = Math.min(rate.burst(), tokens + (millis - last) * rate.perSecond() / MILLIS);
      last = millis;
      if (tokens < 1) {
        return () -> {};
      }
      tokens--;
      return () -> wrongful++;
    }
  }

  private static int host(String name) {
    return Integer.parseInt(name.substring("host-".length())) - 1;
  }

  private static Stream<String[]> lines(String file) throws IOException {
    return Files.readAllLines(TRACES.resolve(file)).stream()
        .filter(line -> !line.startsWith("#"))
        .map(line -> line.split(","));
  }
}
