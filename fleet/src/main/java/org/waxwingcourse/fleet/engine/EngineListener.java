package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import org.waxwingcourse.http.CallFailure;

/** Receives an engine's answer: at most one head, then bytes, exactly one end, in order. */
public interface EngineListener {
  /** The head of the answer has come. */
  void onHead(EngineAnswer head);

  /** The next bytes of the body. The listener keeps the array. */
  void onBytes(byte[] bytes);

  /** The answer has ended, whole if there is no failure. */
  void onEnd(Option<CallFailure> failure);
}
