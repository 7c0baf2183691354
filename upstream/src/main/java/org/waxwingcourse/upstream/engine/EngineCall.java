package org.waxwingcourse.upstream.engine;

import org.waxwingcourse.model.request.Call;

/** A request for an engine. */
public interface EngineCall extends Call {
  /** Sends the request. Called once; nothing is sent after a cancel. */
  void begin();

  /** Returns the number of tokens that the listener has been given. */
  int tokens();
}
