package org.waxwingcourse.fleet.reach;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether this host reaches engines, from whether connections to a few of them can be
 * opened. Connections that are open already say nothing: they may live on while new ones fail.
 *
 * <p>Load pattern: a host is cut off from all engines while callers, the store and the other hosts
 * reach it. From one failed connection this cannot be told from the loss of an engine.
 *
 * <p>Safe for use by several threads.
 */
final class EngineReach {
  /** A connection opened within this time shows that the host reaches engines. */
  private static final Duration RECENT = Duration.ofMillis(300);

  /** Interval between checks while no engine is reached. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(400);

  private boolean outOfReach;
  private Instant connectedAt = Instant.MIN;
  private Instant checkedAt = Instant.MIN;

  /** Returns whether the last check reached no engine and none has been reached since. */
  synchronized boolean isOutOfReach() {
    return outOfReach;
  }

  /** Returns whether a connection was opened after the given time. */
  synchronized boolean hasConnectedAfter(Instant time) {
    return connectedAt.isAfter(time);
  }

  /** Returns whether silence of an engine is to be followed by a check. */
  synchronized boolean needsCheck(Instant now) {
    return !outOfReach && !now.isBefore(connectedAt.plus(RECENT));
  }

  /** Returns whether the check is to be repeated, as no engine was reached. */
  synchronized boolean needsRecheck(Instant now) {
    return outOfReach && !now.isBefore(checkedAt.plus(RECHECK_INTERVAL));
  }

  /** Records that a connection to an engine was opened; returns whether that is a change. */
  synchronized boolean recordConnected(Instant now) {
    connectedAt = now;
    return setOutOfReach(false);
  }

  /** Records that a check reached no engine; returns whether that is a change. */
  synchronized boolean recordUnreached(Instant now) {
    checkedAt = now;
    return setOutOfReach(true);
  }

  private boolean setOutOfReach(boolean next) {
    boolean changed = next != outOfReach;
    outOfReach = next;
    return changed;
  }
}
