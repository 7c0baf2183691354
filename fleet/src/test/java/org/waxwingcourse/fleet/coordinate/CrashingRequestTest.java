package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.coordinate.CrashReplay.Cause;
import org.waxwingcourse.fleet.coordinate.CrashReplay.Scenario;

/** Replays a request that crashes every engine that runs it and comes again and again. */
class CrashingRequestTest {
  private static final int CRASHES_BEFORE_KNOWN = 3;
  private static final int MAX_SENT_WHEN_KNOWN = 3;

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 2, 3, 4})
  void requestThatCrashesEnginesIsKeptFromThem(long seed) {
    Scenario scenario = new Scenario(Cause.REQUEST, 6, 1, 1, 20, 1, true);
    CrashReplay replay = new CrashReplay(scenario, seed).run();
    assertThat(replay.sentWhenKnown(CRASHES_BEFORE_KNOWN)).isLessThanOrEqualTo(MAX_SENT_WHEN_KNOWN);
    assertThat(replay.soundServedLate()).isGreaterThan(0.5);
  }
}
