package org.waxwingcourse.fleet.reach;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.model.request.Outcome;

/** What a lost host relayed ended with it, or ran twice. */
class RelayingHostStopsTest extends FleetOfHosts {
  private static final int COORDINATOR = 0;
  private static final int RELAYING = 4;
  private static final List<Integer> CUT_OFF = List.of(1, 2, 3);
  private static final int REQUESTS = 30;

  RelayingHostStopsTest() {
    super(5);
  }

  /** Sends requests of a second each and stops a host that relays some of them. */
  private List<Outcome> serveWhileRelayingHostStops(Route route) throws Exception {
    cut(CutOffEngines.Cut.REFUSED, 1, 2, 3);
    serveAll(CUT_OFF, 100, Duration.ofMillis(20));
    engines.eventIntervalMillis = 200;
    List<CompletableFuture<Outcome>> requests = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      requests.add(serve(CUT_OFF.get(i % CUT_OFF.size()), route, Option.none()));
    }
    Thread.sleep(450);
    assertThat(engines.countUnderWay(idOf(RELAYING))).isPositive();
    assertThat(engines.countUnderWay(idOf(COORDINATOR))).isPositive();
    stopHost(RELAYING);
    List<Outcome> outcomes = new ArrayList<>();
    for (CompletableFuture<Outcome> request : requests) {
      outcomes.add(request.get(10, TimeUnit.SECONDS));
    }
    return outcomes;
  }

  @Test
  void streamsGoOnThroughAnotherHost() throws Exception {
    assertThat(serveWhileRelayingHostStops(STREAMS)).allMatch(Outcome.Done.class::isInstance);
    assertThat(brokenAnswers).isEmpty();
    assertThat(runs().values()).contains(2);
  }

  @Test
  void requestsThatMayNotBeRepeatedRunOnce() throws Exception {
    List<Outcome> outcomes = serveWhileRelayingHostStops(ONCE);
    assertThat(outcomes)
        .allMatch(o -> o instanceof Outcome.Done || o instanceof Outcome.Unknown)
        .anyMatch(Outcome.Unknown.class::isInstance);
    assertThat(runs())
        .allSatisfy(
            (id, count) -> {
              if (id.startsWith(ONCE.name())) {
                assertThat(count).as(id).isEqualTo(1);
              }
            });
  }
}
