package org.waxwingcourse.policy.hosts;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.policy.hosts.PlannedStop.Phase;

class PlannedStopTest {
  private static final StopSettings SETTINGS = StopSettings.DEFAULT;
  private static final Duration LAPSE = SETTINGS.answerValidity().plus(SETTINGS.clockDrift());

  private final ManualClock clock = ManualClock.at(Instant.EPOCH);
  private final FakeDeparture departure = new FakeDeparture();
  private final List<String> steps = departure.steps;
  private final PlannedStop stop = PlannedStop.of(departure, SETTINGS, clock);
  private int underway;

  @Test
  void waitsForAcknowledgementsThenAnswersThenRequests() {
    prepare(1);
    departure.known = false;
    stop.begin();
    assertThat(after(Duration.ofSeconds(5))).isEqualTo(Phase.LEAVING);
    departure.known = true;
    assertThat(after(Duration.ZERO)).isEqualTo(Phase.LEAVING);
    assertThat(after(LAPSE.minusMillis(1))).isEqualTo(Phase.LEAVING);
    assertThat(stop.takesRequests()).isTrue();
    assertThat(after(Duration.ofMillis(1))).isEqualTo(Phase.DRAINING);
    assertThat(stop.takesRequests()).isFalse();
    assertThat(after(Duration.ofMinutes(1))).isEqualTo(Phase.DRAINING);
    underway = 0;
    assertThat(after(Duration.ZERO)).isEqualTo(Phase.STOPPED);
    assertThat(steps).containsExactly("leave", "claims refused", "shares back", "left");
  }

  @Test
  void hostThatNeverAcknowledgesAndStreamThatNeverEndsCannotHoldItForEver() {
    prepare(1);
    departure.known = false;
    stop.begin();
    after(SETTINGS.announceLimit());
    assertThat(after(LAPSE)).isEqualTo(Phase.DRAINING);
    assertThat(after(SETTINGS.drainLimit())).isEqualTo(Phase.STOPPED);
  }

  @Test
  void lastHostDrainsAtOnceAndAFailingStepStopsNothing() {
    prepare(0);
    stop.onLeaving(
        () -> {
          throw new IllegalStateException("the store is down");
        });
    departure.others = false;
    stop.begin();
    stop.begin();
    assertThat(after(Duration.ZERO)).isEqualTo(Phase.DRAINING);
    assertThat(after(Duration.ZERO)).isEqualTo(Phase.STOPPED);
    assertThat(steps).containsExactly("leave", "claims refused", "shares back", "left");
  }

  private void prepare(int requests) {
    underway = requests;
    stop.onLeaving(() -> steps.add("claims refused"));
    stop.onDraining(() -> steps.add("shares back"));
    stop.waitFor(() -> underway);
  }

  private Phase after(Duration time) {
    clock.advance(time);
    stop.tick();
    return stop.phase();
  }

  private static final class FakeDeparture implements PlannedStop.Departure {
    final List<String> steps = new ArrayList<>();
    boolean known = true;
    boolean others = true;

    @Override
    public void leave() {
      steps.add("leave");
    }

    @Override
    public boolean leaveKnown() {
      return known;
    }

    @Override
    public boolean othersServe() {
      return others;
    }

    @Override
    public void left() {
      steps.add("left");
    }
  }
}
