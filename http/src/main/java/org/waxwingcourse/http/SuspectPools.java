package org.waxwingcourse.http;

import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.waxwingcourse.model.time.Deadline;

/**
 * Records receivers on whose pooled connections a call got no response. Other pooled connections to
 * such a receiver may have become unresponsive in the same way, so requests use new connections
 * until all connections that were idle at that time have been closed.
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
    Deadline suspectUntil = suspects.get(receiver.getAuthority());
    if (suspectUntil == null) {
      return false;
    }
    boolean expired = suspectUntil.isPast(clock.instant());
    if (expired) {
      suspects.remove(receiver.getAuthority(), suspectUntil);
    }
    return !expired;
  }

  void recordFailure(URI receiver, CallFailure failure) {
    boolean unanswered =
        failure.kind() == CallFailure.Kind.TIMED_OUT || failure.kind() == CallFailure.Kind.LOST;
    if (unanswered) {
      suspects.put(receiver.getAuthority(), Deadline.after(clock, idleTimeout));
    }
  }
}
