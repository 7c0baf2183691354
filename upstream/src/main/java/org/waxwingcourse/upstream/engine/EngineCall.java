package org.waxwingcourse.upstream.engine;

import org.waxwingcourse.model.request.Call;

/** A request to an engine. */
public interface EngineCall extends Call {
  /** Sends the request. Called once; nothing is sent after the call is cancelled. */
  void begin();

  /** Returns the number of tokens that were passed to the listener. */
  int tokens();
}
