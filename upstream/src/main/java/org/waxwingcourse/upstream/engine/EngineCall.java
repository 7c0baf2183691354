package org.waxwingcourse.upstream.engine;

import org.waxwingcourse.model.request.Call;

/** A request running on an engine. */
public interface EngineCall extends Call {
  /** Returns the number of tokens that the listener has been given. */
  int tokens();
}
