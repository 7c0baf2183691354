package org.waxwingcourse.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.waxwingcourse.model.time.Deadline;

/**
 * Decides when to send a heartbeat on a connection and when the connection counts as silent.
 *
 * <p>A heartbeat becomes due with a message if the previous heartbeat has been answered and the
 * heartbeat interval has passed. An idle connection therefore sends no heartbeats and a busy one at
 * most one per interval. A connection is silent if a heartbeat is not answered by its deadline;
 * such a connection may accept bytes indefinitely without delivering them.
 *
 * <p>Not thread-safe; the link that owns the monitor holds the lock.
 */
final class HeartbeatMonitor {
  /** Leaves time for the answer to a repetition before the connection counts as silent. */
  private static final int REPEAT_DIVISOR = 3;

  private final Duration interval;
  private final Duration silenceTimeout;
  private Deadline nextHeartbeatAt;
  private Deadline idleDeadline;
  private final Duration idleTimeout;
  private boolean sentSinceHeartbeat;
  private long sequence;
  private OptionalLong awaitedSequence = OptionalLong.empty();
  private Deadline answerDeadline;
  private Deadline repeatAt;
  private Deadline noMessageBy;
  private boolean repeated;

  /** Creates the monitor of a new connection; its heartbeats follow {@code lastSequence}. */
  HeartbeatMonitor(PeerSettings settings, long lastSequence, Instant now) {
    this.sequence = lastSequence;
    this.interval = settings.heartbeatInterval();
    this.silenceTimeout = settings.silenceTimeout();
    this.idleTimeout = settings.idleTimeout();
    this.nextHeartbeatAt = Deadline.at(now);
    this.answerDeadline = Deadline.at(now);
    this.repeatAt = Deadline.at(now);
    this.noMessageBy = Deadline.at(now);
    this.idleDeadline = Deadline.at(now.plus(idleTimeout));
  }

  /**
   * Records that a message is sent and returns the sequence number of the heartbeat to send with
   * it, if one is due.
   */
  OptionalLong onSend(Instant now) {
    sentSinceHeartbeat = true;
    idleDeadline = Deadline.at(now.plus(idleTimeout));
    noMessageBy = Deadline.at(now.plus(interval));
    return nextHeartbeat(now);
  }

  /** Records the answer to the heartbeat with the given sequence number. */
  void onAnswer(long answeredSequence) {
    if (awaitedSequence.isPresent() && awaitedSequence.getAsLong() == answeredSequence) {
      awaitedSequence = OptionalLong.empty();
    }
  }

  /**
   * Returns the sequence number of the heartbeat to send now without a message, if one is due. For
   * the heartbeat interval after a message the next message is waited for, which would carry it.
   */
  OptionalLong pollHeartbeat(Instant now) {
    return noMessageBy.isPast(now) ? nextHeartbeat(now) : OptionalLong.empty();
  }

  private OptionalLong nextHeartbeat(Instant now) {
    if (!sentSinceHeartbeat || awaitedSequence.isPresent() || !nextHeartbeatAt.isPast(now)) {
      return OptionalLong.empty();
    }
    sentSinceHeartbeat = false;
    sequence++;
    awaitedSequence = OptionalLong.of(sequence);
    nextHeartbeatAt = Deadline.at(now.plus(interval));
    answerDeadline = Deadline.at(now.plus(silenceTimeout));
    repeatAt = Deadline.at(now.plus(silenceTimeout.dividedBy(REPEAT_DIVISOR)));
    repeated = false;
    return awaitedSequence;
  }

  /**
   * Returns the sequence number of a heartbeat that has not been answered for a third of the time
   * allowed, once. Its answer may have been lost with a message on another connection, and an
   * earlier version answers no heartbeat that a message carries.
   */
  OptionalLong pollRepetition(Instant now) {
    if (awaitedSequence.isEmpty() || repeated || !repeatAt.isPast(now)) {
      return OptionalLong.empty();
    }
    repeated = true;
    return awaitedSequence;
  }

  /** Returns the sequence number of the last heartbeat. */
  long lastSequence() {
    return sequence;
  }

  /** Returns whether the answer to a heartbeat is overdue. */
  boolean isSilent(Instant now) {
    return awaitedSequence.isPresent() && answerDeadline.isPast(now);
  }

  /** Returns whether no message was sent for the idle timeout and no heartbeat awaits an answer. */
  boolean isIdle(Instant now) {
    return awaitedSequence.isEmpty() && idleDeadline.isPast(now);
  }
}
