package org.waxwingcourse.fleet.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.UpstreamId;

/** Sends requests to engines. */
@FunctionalInterface
public interface EngineSender {
  /**
   * Sends a request. Cancelling the returned call tells the engine at once that the answer is no
   * longer wanted.
   */
  StreamCall send(EngineRequest request, EngineListener listener);

  /** Returns the engines to which a connection is open and idle, most recently used first. */
  default List<UpstreamId> enginesWithIdleConnections() {
    return List.of();
  }

  /** Opens and closes a connection; the result, which comes soon, is whether it could be opened. */
  default CompletableFuture<Boolean> canConnect(EngineEntry engine) {
    return CompletableFuture.completedFuture(true);
  }

  /** Tells that an engine has sent nothing for longer than a healthy one takes. */
  default void reportSilence(EngineEntry engine) {}
}
