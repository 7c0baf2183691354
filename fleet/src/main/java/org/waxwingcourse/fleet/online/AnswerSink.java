package org.waxwingcourse.fleet.online;

import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.model.request.Outcome;

/**
 * Takes one answer for a caller: at most one head, then bytes, exactly one end, in order. After a
 * head, an end other than {@link Outcome.Done} must leave the answer visibly incomplete.
 */
public interface AnswerSink {
  /** The head of an engine's answer. */
  void onHead(EngineAnswer head);

  /** The next bytes. The sink keeps the array. */
  void onBytes(byte[] bytes);

  /** The answer has ended. */
  void onEnd(Outcome outcome);
}
