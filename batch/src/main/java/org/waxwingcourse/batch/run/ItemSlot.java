package org.waxwingcourse.batch.run;

import java.time.Instant;
import org.waxwingcourse.model.request.Call;

/** Where one item of a chunk stands; guarded by its {@link ChunkRun}. */
final class ItemSlot {
  /** The states of an item. */
  enum State {
    /** To be sent. */
    WAITING,
    /** Its organisation's rate is being asked, or it was sent. */
    ACTIVE,
    /** It has its result. */
    ENDED
  }

  State state = State.WAITING;
  boolean sent;
  int attempt;
  int tries;
  Instant notBefore = Instant.MIN;
  Instant giveUp = Instant.MAX;
  Call call;
  String line = "";

  void activate(Instant until) {
    state = State.ACTIVE;
    sent = false;
    attempt++;
    giveUp = until;
    call = null;
  }

  void await(Instant next) {
    state = State.WAITING;
    notBefore = next;
    call = null;
  }

  void end(String result) {
    state = State.ENDED;
    line = result;
    call = null;
  }
}
