package org.waxwingcourse.fleet.job;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.time.Deadline;

/**
 * Decides when a job's record must be read before an item is sent, since a caller may have ended
 * the job at another host. The message about that may be lost, together with the host that sends
 * it; a record that was read lately cannot.
 *
 * <p>A read that fails counts like one that shows the job open: items run on while the store is
 * away, in which nobody can end a job either.
 *
 * <p>Safe for use by several threads. Actions are run by the caller.
 */
final class OpenJobCheck {
  /**
   * Maximum time between a read of the record and the sending of an item. With the time limits of
   * the read and of a new connection to an engine, it is below the time within which the items of
   * an ended job stop.
   */
  static final Duration MAX_AGE = Duration.ofMillis(1500);

  private final List<Runnable> waiting = new ArrayList<>();
  private Deadline validUntil;
  private boolean readInProgress;

  /** What is done with an action. */
  enum Next {
    /** Run it now. */
    RUN,
    /** Read the record; the action waits for the answer. */
    READ,
    /** Nothing: the action waits for the read in progress. */
    WAIT
  }

  /** Creates the check of a job that was open at {@code openAt}. */
  OpenJobCheck(Instant openAt) {
    validUntil = validUntil(openAt);
  }

  /** Decides about an action that may only be run while the job is open. */
  synchronized Next onAction(Runnable action, Instant now) {
    if (!validUntil.isPast(now)) {
      return Next.RUN;
    }
    waiting.add(action);
    if (readInProgress) {
      return Next.WAIT;
    }
    readInProgress = true;
    return Next.READ;
  }

  /** Adds that a write shows that the job was open at {@code openAt} or later. */
  synchronized void confirmOpen(Instant openAt) {
    Deadline confirmed = validUntil(openAt);
    validUntil = confirmed.compareTo(validUntil) > 0 ? confirmed : validUntil;
  }

  /**
   * Ends the read in progress, which was sent at {@code sentAt}. Returns the actions that have
   * waited for it.
   */
  synchronized List<Runnable> onRead(Instant sentAt) {
    confirmOpen(sentAt);
    readInProgress = false;
    List<Runnable> released = List.copyOf(waiting);
    waiting.clear();
    return released;
  }

  private static Deadline validUntil(Instant openAt) {
    return Deadline.at(openAt.plus(MAX_AGE));
  }
}
