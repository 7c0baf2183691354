package org.waxwingcourse.node.agree;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.waxwingcourse.config.store.ConfigurationKeys;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.trust.AgreementStatus;

/** Logs when this node lags behind a version that it has heard of, and when its right lapses. */
final class LagAlarm {
  private static final EventLog LOG = EventLog.of(LagAlarm.class);
  private static final Duration PATIENCE = Duration.ofSeconds(2);

  private final InstantSource clock;
  private Optional<Deadline> lagAlarmAt = Optional.empty();
  private boolean current;
  private boolean told;
  private Optional<String> lastFault = Optional.empty();

  LagAlarm(InstantSource clock) {
    this.clock = clock;
  }

  void check(AgreementStatus status, Optional<String> fault) {
    checkLag(status);
    checkRight(status);
    if (!fault.equals(lastFault)) {
      lastFault = fault;
      fault.ifPresent(f -> LOG.write(Event.CONFIGURATION_UNREADABLE, ConfigurationKeys.PREFIX, f));
    }
  }

  private void checkLag(AgreementStatus status) {
    if (status.missing().isEmpty()) {
      lagAlarmAt = Optional.empty();
      told = false;
      return;
    }
    Deadline due = lagAlarmAt.orElseGet(() -> Deadline.after(clock, PATIENCE));
    lagAlarmAt = Optional.of(due);
    if (!told && due.isPast(clock.instant())) {
      told = true;
      long missing = status.missing().get().configuration().value();
      LOG.write(Event.CONFIGURATION_LAGS, status.versions().configuration().value(), missing);
    }
  }

  private void checkRight(AgreementStatus status) {
    if (status.current() == current) {
      return;
    }
    current = status.current();
    LOG.write(current ? Event.TRUST_RENEWED : Event.TRUST_LAPSED);
  }
}
