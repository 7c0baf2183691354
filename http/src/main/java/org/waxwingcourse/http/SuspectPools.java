package org.waxwingcourse.http;

import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.waxwingcourse.model.time.Deadline;

/**
 * Remembers receivers on whose pooled connections a call got no answer. Their other pooled
 * connections may have gone silent the same way, so requests take new ones until all that were idle
 * then have been closed.
 */
final class SuspectPools {
  private final InstantSource clock;
  private final Duration idleTimeout;
  private final ConcurrentMap<String, Deadline> suspects = new ConcurrentHashMap<>();

  SuspectPools(InstantSource clock, Duration idleTimeout) {
    this.clock = clock;
    this.idleTimeout = idleTimeout;
  }

  boolean isSuspect(URI receiver) {
    Deadline until = suspects.get(receiver.getAuthority());
    if (until == null) {
      return false;
    }
    boolean past = until.isPast(clock.instant());
    if (past) {
      suspects.remove(receiver.getAuthority(), until);
    }
    return !past;
  }

  void note(URI receiver, CallFailure failure) {
    boolean unanswered =
        failure.kind() == CallFailure.Kind.TIMED_OUT || failure.kind() == CallFailure.Kind.LOST;
    if (unanswered) {
      suspects.put(receiver.getAuthority(), Deadline.after(clock, idleTimeout));
    }
  }
}
