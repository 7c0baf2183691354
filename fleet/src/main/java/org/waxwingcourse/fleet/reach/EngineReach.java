package org.waxwingcourse.fleet.reach;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether this host reaches engines, from checks whether connections to a few of them can
 * be opened. Connections that are open already say nothing: they may live on while new ones fail.
 *
 * <p>Load pattern: a host is cut off from all engines while callers, the store and the other hosts
 * reach it. From one failed connection this cannot be told from the loss of an engine.
 *
 * <p>Safe for use by several threads.
 */
final class EngineReach {
  /** For this long after a check that reached an engine, silence of an engine starts no other. */
  private static final Duration RECENT = Duration.ofMillis(500);

  /** Interval between checks while no engine is reached. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(400);

  private boolean outOfReach;
  private Instant reachedAt = Instant.MIN;
  private Instant unreachedAt = Instant.MIN;

  /** Returns whether the last check reached no engine. */
  synchronized boolean isOutOfReach() {
    return outOfReach;
  }

  /**
   * Returns whether a check that was begun after the given time has shown what a connection that
   * failed says.
   */
  synchronized boolean isKnownSince(Instant time) {
    return outOfReach || reachedAt.isAfter(time);
  }

  /** Returns whether silence of an engine is to be followed by a check. */
  synchronized boolean needsCheck(Instant now) {
    return !outOfReach && !now.isBefore(reachedAt.plus(RECENT));
  }

  /** Returns whether the check is to be repeated, as no engine was reached. */
  synchronized boolean needsRecheck(Instant now) {
    return outOfReach && !now.isBefore(unreachedAt.plus(RECHECK_INTERVAL));
  }

  /**
   * Records that a check begun at {@code begunAt} reached an engine; returns whether that is new.
   */
  synchronized boolean recordReached(Instant begunAt) {
    reachedAt = begunAt;
    return setOutOfReach(false);
  }

  /** Records that a check reached no engine; returns whether that is new. */
  synchronized boolean recordUnreached(Instant now) {
    unreachedAt = now;
    return setOutOfReach(true);
  }

  private boolean setOutOfReach(boolean next) {
    boolean changed = next != outOfReach;
    outOfReach = next;
    return changed;
  }
}
