package org.waxwingcourse.fleet.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Outcome;

/** Sound hosts that met only lost engines took themselves for cut off and refused requests. */
class LostEnginesAreNoCutTest extends FleetOfHosts {
  private static final int REQUESTS = 100;
  private static final Duration INTERVAL = Duration.ofMillis(20);

  LostEnginesAreNoCutTest() {
    super(5);
  }

  @Test
  void allRequestsAreServedByTheEngineThatIsLeft() throws Exception {
    serveAll(List.of(0, 1, 2, 3, 4), 20, INTERVAL);
    for (int i = 2; i <= ENGINES; i++) {
      engines.lost.add(UpstreamId.of("engine-" + i));
    }
    List<Outcome> outcomes = serveAll(List.of(0, 1, 2, 3, 4), REQUESTS, INTERVAL);
    assertThat(outcomes).allMatch(Outcome.Done.class::isInstance);
  }
}
