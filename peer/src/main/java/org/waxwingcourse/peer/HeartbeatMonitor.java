package org.waxwingcourse.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.waxwingcourse.model.time.Deadline;

/**
 * Decides when a connection is asked for a sign of life and when it counts as silent.
 *
 * <p>A heartbeat goes out with the first message after the last answer, so an idle connection costs
 * nothing and a busy one costs one heartbeat an interval. A connection whose heartbeat is not
 * answered by its deadline is silent: it may take bytes for ever and deliver none. Not safe for use
 * by several threads; its link holds the lock.
 */
final class HeartbeatMonitor {
  private final Duration interval;
  private final Duration silenceLimit;
  private Deadline nextDue;
  private Deadline idleAt;
  private final Duration idleLimit;
  private boolean unconfirmed;
  private long sequence;
  private OptionalLong awaited = OptionalLong.empty();
  private Deadline answerBy;

  HeartbeatMonitor(PeerSettings settings, Instant now) {
    this.interval = settings.heartbeatInterval();
    this.silenceLimit = settings.silenceLimit();
    this.idleLimit = settings.idleLimit();
    this.nextDue = Deadline.at(now);
    this.answerBy = Deadline.at(now);
    this.idleAt = Deadline.at(now.plus(idleLimit));
  }

  /** Records a message and returns the sequence of a heartbeat to send after it, if one is due. */
  OptionalLong onSend(Instant now) {
    unconfirmed = true;
    idleAt = Deadline.at(now.plus(idleLimit));
    return due(now);
  }

  /** Records the answer to a heartbeat. */
  void onAnswer(long answered) {
    if (awaited.isPresent() && awaited.getAsLong() == answered) {
      awaited = OptionalLong.empty();
    }
  }

  /** Returns the sequence of a heartbeat to send now, if one is due. */
  OptionalLong due(Instant now) {
    if (!unconfirmed || awaited.isPresent() || !nextDue.isPast(now)) {
      return OptionalLong.empty();
    }
    unconfirmed = false;
    sequence++;
    awaited = OptionalLong.of(sequence);
    nextDue = Deadline.at(now.plus(interval));
    answerBy = Deadline.at(now.plus(silenceLimit));
    return awaited;
  }

  /** Tells whether an answer is overdue. */
  boolean silent(Instant now) {
    return awaited.isPresent() && answerBy.isPast(now);
  }

  /** Tells whether the connection has carried no message for the idle limit. */
  boolean idle(Instant now) {
    return awaited.isEmpty() && idleAt.isPast(now);
  }
}
