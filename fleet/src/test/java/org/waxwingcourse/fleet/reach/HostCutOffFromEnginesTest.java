package org.waxwingcourse.fleet.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.model.request.Outcome;

/** Hosts that callers reach, but that reach no engine, served nothing. */
class HostCutOffFromEnginesTest extends FleetOfHosts {
  private static final int REQUESTS = 60;
  private static final Duration INTERVAL = Duration.ofMillis(25);

  /** From the cut on, callers may notice it for this long. */
  private static final Duration DETECTION = Duration.ofSeconds(3);

  HostCutOffFromEnginesTest() {
    super(5);
  }

  private void beginCut(CutOffEngines.Cut cut, int... cutHosts) throws Exception {
    serveAll(List.of(0, 1, 2, 3, 4), 20, INTERVAL);
    cut(cut, cutHosts);
    serveAll(List.of(0, 1, 2, 3, 4), (int) (DETECTION.toMillis() / INTERVAL.toMillis()), INTERVAL);
  }

  @ParameterizedTest
  @EnumSource(
      value = CutOffEngines.Cut.class,
      names = {"REFUSED", "SILENT"})
  void hostThatReachesNoEngineServesItsCallers(CutOffEngines.Cut cut) throws Exception {
    beginCut(cut, 1, 2, 3);
    List<Outcome> outcomes = serveAll(List.of(1, 2, 3), REQUESTS, INTERVAL);
    assertThat(outcomes).allMatch(Outcome.Done.class::isInstance);
    assertThat(runs()).allSatisfy((id, count) -> assertThat(count).as(id).isEqualTo(1));
  }

  @Test
  void coordinatorThatReachesNoEngineServesItsCallers() throws Exception {
    beginCut(CutOffEngines.Cut.REFUSED, 0);
    assertThat(serveAll(List.of(0), REQUESTS, INTERVAL)).allMatch(Outcome.Done.class::isInstance);
  }

  @Test
  void hostServesByItselfAgainAfterTheCut() throws Exception {
    beginCut(CutOffEngines.Cut.SILENT, 1);
    cut(CutOffEngines.Cut.NONE, 1);
    Thread.sleep(1000);
    cut(CutOffEngines.Cut.REFUSED, 0, 2, 3, 4);
    assertThat(serveAll(List.of(1), REQUESTS, INTERVAL)).allMatch(Outcome.Done.class::isInstance);
  }
}
