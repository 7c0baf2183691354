package org.waxwingcourse.node.agree;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.waxwingcourse.config.store.ConfigurationKeys;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.trust.AgreementStatus;

/**
 * Logs when this node lags behind a newer version that it knows of, when its trust in the
 * configuration lapses or is renewed, and when the configuration is unreadable.
 */
final class AgreementMonitor {
  private static final EventLog LOG = EventLog.of(AgreementMonitor.class);
  private static final Duration LAG_ALARM_DELAY = Duration.ofSeconds(2);

  private final InstantSource clock;
  private Optional<Deadline> lagAlarmAt = Optional.empty();
  private boolean trusted;
  private boolean lagLogged;
  private Optional<String> lastFault = Optional.empty();

  AgreementMonitor(InstantSource clock) {
    this.clock = clock;
  }

  void check(AgreementStatus status, Optional<String> fault) {
    checkLag(status);
    checkTrust(status);
    if (!fault.equals(lastFault)) {
      lastFault = fault;
      fault.ifPresent(f -> LOG.write(Event.CONFIGURATION_UNREADABLE, ConfigurationKeys.PREFIX, f));
    }
  }

  private void checkLag(AgreementStatus status) {
    if (status.missing().isEmpty()) {
      lagAlarmAt = Optional.empty();
      lagLogged = false;
      return;
    }
    Deadline due = lagAlarmAt.orElseGet(() -> Deadline.after(clock, LAG_ALARM_DELAY));
    lagAlarmAt = Optional.of(due);
    if (!lagLogged && due.isPast(clock.instant())) {
      lagLogged = true;
      long missing = status.missing().get().configuration().value();
      LOG.write(Event.CONFIGURATION_LAGS, status.versions().configuration().value(), missing);
    }
  }

  private void checkTrust(AgreementStatus status) {
    if (status.current() == trusted) {
      return;
    }
    trusted = status.current();
    LOG.write(trusted ? Event.TRUST_RENEWED : Event.TRUST_LAPSED);
  }
}
