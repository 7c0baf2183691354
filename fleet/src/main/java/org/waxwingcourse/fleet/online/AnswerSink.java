package org.waxwingcourse.fleet.online;

import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.model.request.Outcome;

/**
 * Receives one answer for a caller: at most one head, then any number of byte arrays, then exactly
 * one end, in this order; no end if the sink itself has cancelled the request. If the end after a
 * head is not {@link Outcome.Done}, the sink must leave the answer visibly incomplete.
 */
public interface AnswerSink {
  /** Called with the head of an engine's answer. */
  void onHead(EngineAnswer head);

  /** Called with the next bytes of the body. The sink owns the array. */
  void onBytes(byte[] bytes);

  /**
   * Returns a future that completes once the receiver is no longer behind with what it was sent. A
   * sender that can pause sends no more until then.
   */
  default CompletableFuture<Void> drained() {
    return CompletableFuture.completedFuture(null);
  }

  /** Called at the end of the answer. */
  void onEnd(Outcome outcome);
}
