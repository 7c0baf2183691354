package org.waxwingcourse.fleet.reach;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingcourse.model.request.Outcome;

/** Hosts of which none reaches engines held requests until their deadlines. */
class AllHostsCutOffTest extends FleetOfHosts {
  private static final List<Integer> ALL = List.of(0, 1, 2, 3, 4);
  private static final Duration DETECTION = Duration.ofSeconds(3);
  private static final long REFUSAL_LIMIT_MILLIS = 900;

  AllHostsCutOffTest() {
    super(5);
  }

  @ParameterizedTest
  @EnumSource(
      value = CutOffEngines.Cut.class,
      names = {"REFUSED", "SILENT"})
  void requestsAreRefusedAtOnceAndServedAfterTheCut(CutOffEngines.Cut cut) throws Exception {
    serveAll(ALL, 20, Duration.ofMillis(25));
    cut(cut, 0, 1, 2, 3, 4);
    long end = System.nanoTime() + DETECTION.toNanos();
    while (System.nanoTime() < end) {
      ALL.forEach(this::serve);
      Thread.sleep(100);
    }
    for (int i = 0; i < 15; i++) {
      long sentAt = System.nanoTime();
      Outcome outcome = serve(i % 5).get(10, TimeUnit.SECONDS);
      assertThat(outcome).isInstanceOf(Outcome.Refused.class);
      assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt))
          .as("time until %s", outcome)
          .isLessThan(REFUSAL_LIMIT_MILLIS);
    }
    cut(CutOffEngines.Cut.NONE, 0, 1, 2, 3, 4);
    Thread.sleep(DETECTION.toMillis());
    assertThat(serveAll(ALL, 40, Duration.ofMillis(25))).allMatch(Outcome.Done.class::isInstance);
  }
}
