package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import org.waxwingcourse.http.CallFailure;

/**
 * Receives an engine's answer: at most one head, then any number of byte arrays, then exactly one
 * end, in this order.
 */
public interface EngineListener {
  /** Called with the head of the answer. */
  void onHead(EngineAnswer head);

  /** Called with the next bytes of the body. The listener owns the array. */
  void onBytes(byte[] bytes);

  /** Called at the end of the answer, which is complete if there is no failure. */
  void onEnd(Option<CallFailure> failure);
}
