package org.waxwingcourse.batch.run;

import java.time.Instant;
import org.waxwingcourse.model.request.Call;

/** The progress of one item of a chunk, guarded by the lock of its {@link ChunkRun}. */
final class ItemProgress {
  /** The states of an item. */
  enum State {
    /** The item is waiting to be sent. */
    WAITING,
    /** The item is waiting for admission under its organisation's rate limit, or was sent. */
    ACTIVE,
    /** The item has its result. */
    ENDED
  }

  State state = State.WAITING;
  boolean sent;
  int attempt;
  int countedAttempts;
  Instant notBefore = Instant.MIN;
  Instant attemptDeadline = Instant.MAX;
  Call call;
  String resultLine = "";

  void startAttempt(Instant deadline) {
    state = State.ACTIVE;
    sent = false;
    attempt++;
    attemptDeadline = deadline;
    call = null;
  }

  void waitUntil(Instant earliest) {
    state = State.WAITING;
    notBefore = earliest;
    call = null;
  }

  void endWith(String newLine) {
    state = State.ENDED;
    resultLine = newLine;
    call = null;
  }
}
