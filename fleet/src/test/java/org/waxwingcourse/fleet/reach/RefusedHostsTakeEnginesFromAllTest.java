package org.waxwingcourse.fleet.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.request.Outcome;

/** Two hosts whose connections were refused made all others refuse their callers. */
class RefusedHostsTakeEnginesFromAllTest extends FleetOfHosts {
  private static final Duration INTERVAL = Duration.ofMillis(10);

  private static final int ROUNDS = 30;

  RefusedHostsTakeEnginesFromAllTest() {
    super(5);
  }

  @Test
  void hostsInReachServeAllWhileTwoAreCutOff() throws Exception {
    serveAll(List.of(0, 1, 2, 3, 4), 20, INTERVAL);
    cut(CutOffEngines.Cut.REFUSED, 3, 4);
    List<Outcome> inReach = new ArrayList<>();
    for (int i = 0; i < ROUNDS; i++) {
      serve(3);
      serve(4);
      inReach.addAll(serveAll(List.of(0, 1, 2), 3, INTERVAL));
    }
    assertThat(inReach).allMatch(Outcome.Done.class::isInstance);
  }
}
