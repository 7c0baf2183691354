package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.store.StoreFailure;

class StoreContactTest {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration OUTAGE = StoreContact.MAX_SILENCE.plus(TICK);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final StoreContact contact = new StoreContact(new Clocks(clock, clock));
  private final AtomicInteger returns = new AtomicInteger();

  StoreContactTest() {
    contact.addReturnListener(returns::incrementAndGet);
  }

  /** Lets time pass while this host runs and checks at its intervals. */
  private void run(Duration span) {
    for (Duration passed = Duration.ZERO; passed.compareTo(span) < 0; passed = passed.plus(TICK)) {
      clock.advance(TICK);
      contact.isRecovering();
    }
  }

  @Test
  void regularSignsAreNoOutage() {
    for (int i = 0; i < 10; i++) {
      run(Duration.ofSeconds(1));
      contact.recordSign();
      assertThat(contact.isRecovering()).isFalse();
    }
    assertThat(returns).hasValue(0);
  }

  @Test
  void laterSignsDoNotProlongTheRecovery() {
    run(OUTAGE);
    assertThat(contact.isRecovering()).as("without a sign").isTrue();
    contact.recordSign();
    run(Duration.ofMillis(1100));
    contact.recordSign();
    run(StoreContact.REREGISTRATION_TIME.minusMillis(1100).minus(TICK));
    contact.recordSign();
    assertThat(contact.isRecovering()).isTrue();
    run(TICK);
    contact.recordSign();
    assertThat(contact.isRecovering()).isFalse();
    assertThat(contact.outages()).isEqualTo(1);
    assertThat(returns).hasValue(1);
  }

  @Test
  void recoveryDoesNotEndWithoutASign() {
    run(OUTAGE);
    contact.recordSign();
    run(Duration.ofMillis(1100));
    contact.recordSign();
    run(StoreContact.REREGISTRATION_TIME.minusMillis(1100).plus(TICK));
    assertThat(contact.isRecovering()).isTrue();
  }

  /** A coordinator that was suspended would else keep engines that have left meanwhile. */
  @Test
  void suspensionOfThisHostIsNoOutage() {
    run(Duration.ofMillis(500));
    clock.advance(Duration.ofSeconds(5));
    contact.recordSign();
    assertThat(contact.isRecovering()).isFalse();
    assertThat(contact.outages()).isZero();
  }

  @Test
  void refusalIsASignAndSilenceIsNone() {
    run(OUTAGE);
    contact.recordOutcome(failure(StoreFailure.Kind.UNREACHABLE));
    assertThat(contact.outages()).isZero();
    contact.recordOutcome(failure(StoreFailure.Kind.RATE_LIMITED));
    assertThat(contact.outages()).isEqualTo(1);
  }

  private static Either<StoreFailure, Object> failure(StoreFailure.Kind kind) {
    return Either.left(new StoreFailure(kind, "failed"));
  }
}
