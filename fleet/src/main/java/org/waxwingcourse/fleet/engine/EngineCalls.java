package org.waxwingcourse.fleet.engine;

import org.waxwingcourse.http.StreamCall;

/** Sends requests to engines. */
@FunctionalInterface
public interface EngineCalls {
  /**
   * Sends a request. Cancelling the returned call tells the engine at once that the answer is no
   * longer wanted.
   */
  StreamCall send(EngineRequest request, EngineListener listener);
}
