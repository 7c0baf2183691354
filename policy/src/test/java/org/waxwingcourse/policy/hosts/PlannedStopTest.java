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
  private static final Duration SELECTION_LIFETIME =
      SETTINGS.answerValidity().plus(SETTINGS.clockDrift());

  private final ManualClock clock = ManualClock.at(Instant.EPOCH);
  private final FakeDeparture departure = new FakeDeparture();
  private final List<String> steps = departure.steps;
  private final PlannedStop stop = PlannedStop.of(departure, SETTINGS, clock);
  private int inFlight;

  @Test
  void waitsForAcknowledgementsThenSelectionExpiryThenRequestsInFlight() {
    registerActions(1);
    departure.acknowledged = false;
    stop.begin();
    assertThat(phaseAfter(Duration.ofSeconds(5))).isEqualTo(Phase.LEAVING);
    departure.acknowledged = true;
    assertThat(phaseAfter(Duration.ZERO)).isEqualTo(Phase.LEAVING);
    assertThat(phaseAfter(SELECTION_LIFETIME.minusMillis(1))).isEqualTo(Phase.LEAVING);
    assertThat(stop.takesRequests()).isTrue();
    assertThat(phaseAfter(Duration.ofMillis(1))).isEqualTo(Phase.DRAINING);
    assertThat(stop.takesRequests()).isFalse();
    assertThat(phaseAfter(Duration.ofMinutes(1))).isEqualTo(Phase.DRAINING);
    inFlight = 0;
    assertThat(phaseAfter(Duration.ZERO)).isEqualTo(Phase.STOPPED);
    assertThat(steps).containsExactly("leave", "claims refused", "shares returned", "left");
  }

  @Test
  void stopsDespiteMissingAcknowledgementsAndEndlessStreams() {
    registerActions(1);
    departure.acknowledged = false;
    stop.begin();
    phaseAfter(SETTINGS.announceLimit());
    assertThat(phaseAfter(SELECTION_LIFETIME)).isEqualTo(Phase.DRAINING);
    assertThat(phaseAfter(SETTINGS.drainLimit())).isEqualTo(Phase.STOPPED);
  }

  @Test
  void lastHostDrainsImmediatelyAndFailingActionDoesNotAbortTheStop() {
    registerActions(0);
    stop.onLeaving(
        () -> {
          throw new IllegalStateException("the store is down");
        });
    departure.otherHostsServe = false;
    stop.begin();
    stop.begin();
    assertThat(phaseAfter(Duration.ZERO)).isEqualTo(Phase.DRAINING);
    assertThat(phaseAfter(Duration.ZERO)).isEqualTo(Phase.STOPPED);
    assertThat(steps).containsExactly("leave", "claims refused", "shares returned", "left");
  }

  private void registerActions(int requests) {
    inFlight = requests;
    stop.onLeaving(() -> steps.add("claims refused"));
    stop.onDraining(() -> steps.add("shares returned"));
    stop.waitFor(() -> inFlight);
  }

  private Phase phaseAfter(Duration time) {
    clock.advance(time);
    stop.tick();
    return stop.phase();
  }

  private static final class FakeDeparture implements PlannedStop.Departure {
    final List<String> steps = new ArrayList<>();
    boolean acknowledged = true;
    boolean otherHostsServe = true;

    @Override
    public void leave() {
      steps.add("leave");
    }

    @Override
    public boolean leaveKnown() {
      return acknowledged;
    }

    @Override
    public boolean othersServe() {
      return otherHostsServe;
    }

    @Override
    public void left() {
      steps.add("left");
    }
  }
}
