package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.util.List;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.UpstreamId;

/** Sends requests to engines and records in a directory what they say of themselves in answers. */
public final class EngineAnswerWatch implements EngineSender {
  private final EngineSender calls;
  private final EngineDirectory engines;

  /** Creates a watch over the answers to requests that are sent through {@code calls}. */
  public EngineAnswerWatch(EngineSender calls, EngineDirectory engines) {
    this.calls = calls;
    this.engines = engines;
  }

  @Override
  public StreamCall send(EngineRequest request, EngineListener listener) {
    return calls.send(request, new WatchedAnswer(request, listener));
  }

  @Override
  public List<UpstreamId> enginesWithIdleConnections() {
    return calls.enginesWithIdleConnections();
  }

  private void recordLeaving(EngineRequest request, EngineAnswer answer) {
    engines.markLeaving(request.engine().boot(), request.id());
    if (answer.verdict() == EngineAnswer.Verdict.OTHER_ENGINE) {
      engines.all().stream()
          .filter(e -> e.address().equals(request.engine().address()))
          .map(EngineEntry::boot)
          .forEach(boot -> engines.markLeaving(boot, request.id()));
    }
  }

  private final class WatchedAnswer implements EngineListener {
    private final EngineRequest request;
    private final EngineListener listener;

    WatchedAnswer(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
    }

    @Override
    public void onHead(EngineAnswer head) {
      if (head.leaving()) {
        recordLeaving(request, head);
      }
      listener.onHead(head);
    }

    @Override
    public void onBytes(byte[] bytes) {
      listener.onBytes(bytes);
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      listener.onEnd(failure);
    }
  }
}
