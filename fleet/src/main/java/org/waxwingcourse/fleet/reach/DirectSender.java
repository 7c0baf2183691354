package org.waxwingcourse.fleet.reach;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Sends requests to engines from this host. A connection that cannot be opened while no engine is
 * reached ends the request as out of reach, which says nothing about the engine.
 */
public final class DirectSender implements EngineSender {
  private final EngineSender calls;
  private final ReachMonitor reach;

  /** Creates a sender that sends through {@code calls}. */
  public DirectSender(EngineSender calls, ReachMonitor reach) {
    this.calls = calls;
    this.reach = reach;
  }

  @Override
  public StreamCall send(EngineRequest request, EngineListener listener) {
    CheckedAnswer answer = new CheckedAnswer(listener);
    answer.call = calls.send(request, answer);
    return answer.call;
  }

  @Override
  public List<UpstreamId> enginesWithIdleConnections() {
    return calls.enginesWithIdleConnections();
  }

  @Override
  public CompletableFuture<Boolean> canConnect(EngineEntry engine) {
    return calls.canConnect(engine);
  }

  /** A host that is cut off gets no byte on its open connections either. */
  @Override
  public void reportSilence(EngineEntry engine) {
    reach.checkIfUnknown();
  }

  private final class CheckedAnswer implements EngineListener {
    private final EngineListener listener;
    private final Instant sentAt = reach.now();
    private volatile StreamCall call;

    CheckedAnswer(EngineListener listener) {
      this.listener = listener;
    }

    @Override
    public void onHead(EngineAnswer head) {
      if (call != null && call.connection().exists(c -> c.request() == 1)) {
        reach.recordConnected();
      }
      listener.onHead(head);
    }

    @Override
    public void onBytes(byte[] bytes) {
      listener.onBytes(bytes);
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      if (failure.exists(f -> f.kind() == CallFailure.Kind.NOT_SENT)) {
        reach.confirmOutOfReach(sentAt).thenAccept(out -> onNotSent(failure.get(), out));
        return;
      }
      if (failure.exists(f -> f.kind() == CallFailure.Kind.LOST)) {
        reach.checkIfUnknown();
      }
      listener.onEnd(failure);
    }

    private void onNotSent(CallFailure failure, boolean outOfReach) {
      listener.onEnd(
          Option.some(
              outOfReach
                  ? new CallFailure(CallFailure.Kind.OUT_OF_REACH, failure.message())
                  : failure));
    }
  }
}
