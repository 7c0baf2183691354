package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The loss of all engines of a data centre. The reports of hosts with few runs were discarded, so
 * that slots on engines that refuse connections were granted again and again, and requests were
 * refused although two thirds of the engines were sound.
 */
class EngineLossTest {
  /** Intervals of 0.3, 0.6, 1.2 and 2.4 s end within the five seconds of the loss. */
  private static final int PROBES_PER_ENGINE = 4;

  /**
   * At a peak the remaining slots are as many as the load; only its random excess may be refused.
   */
  private static final double MAX_REFUSED_PART = 0.1;

  /** The longest interval between probes and the second in which hosts report their runs. */
  private static final Duration SHARE_REGAINED = Duration.ofMillis(2400 + 1000);

  private static double partInTime(List<EngineLossReplay.Work> works) {
    return (double) works.stream().filter(EngineLossReplay.Work::isInTime).count() / works.size();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void soundEnginesServeWhileAThirdRefusesConnections(long seed) {
    EngineLossReplay replay = new EngineLossReplay(seed);
    replay.run();
    List<EngineLossReplay.Work> online = replay.arrivedAfterLoss(true);
    List<EngineLossReplay.Work> items = replay.arrivedAfterLoss(false);
    long refused = online.stream().filter(w -> w.refused).count();
    assertThat(replay.refusedConnections)
        .isLessThanOrEqualTo(
            EngineLossReplay.LOST_ENGINES * (EngineLossReplay.SLOTS + PROBES_PER_ENGINE));
    assertThat(replay.refusalsBesideBatchRuns).isZero();
    assertThat(refused).isLessThan((long) (MAX_REFUSED_PART * online.size()));
    assertThat(partInTime(online)).as("online in time").isGreaterThanOrEqualTo(partInTime(items));
    assertThat(replay.shareRegained)
        .hasSize(EngineLossReplay.LOST_ENGINES)
        .allSatisfy((engine, after) -> assertThat(after).isLessThan(SHARE_REGAINED));
  }
}
