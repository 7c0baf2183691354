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
 * Sends requests to engines from this host. A connection that cannot be opened, or that is lost,
 * while no engine is reached says nothing about the engine.
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
    return calls.send(request, new CheckedAnswer(listener));
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

    CheckedAnswer(EngineListener listener) {
      this.listener = listener;
    }

    @Override
    public void onHead(EngineAnswer head) {
      listener.onHead(head);
    }

    @Override
    public void onBytes(byte[] bytes) {
      listener.onBytes(bytes);
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      Option<CallFailure.Kind> kind = failure.flatMap(f -> kindOutOfReach(f.kind()));
      if (kind.isEmpty()) {
        listener.onEnd(failure);
        return;
      }
      reach
          .confirmOutOfReach(sentAt)
          .thenAccept(
              out ->
                  listener.onEnd(
                      out
                          ? Option.some(new CallFailure(kind.get(), failure.get().message()))
                          : failure));
    }

    /** Returns what a failure becomes if this host reaches no engine, none if it stays. */
    private static Option<CallFailure.Kind> kindOutOfReach(CallFailure.Kind kind) {
      return switch (kind) {
        case NOT_SENT -> Option.some(CallFailure.Kind.OUT_OF_REACH);
        case LOST -> Option.some(CallFailure.Kind.LINK_LOST);
        default -> Option.none();
      };
    }
  }
}
