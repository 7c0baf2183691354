package org.waxwingcourse.fleet.engine;

import org.waxwingcourse.http.StreamCall;

/** Sends requests to engines. */
@FunctionalInterface
public interface EngineCalls {
  /** Sends a request; cancelling the result tells the engine at once that nobody waits. */
  StreamCall send(EngineRequest request, EngineListener listener);
}
