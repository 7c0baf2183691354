package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.engine.StatedLimit;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.UpstreamId;

/** Sends requests to engines and records in a directory what they say of themselves in answers. */
public final class EngineAnswerWatch implements EngineSender {
  private final EngineSender calls;
  private final EngineDirectory engines;
  private final InstantSource wallClock;

  /** Creates a watch over the answers to requests that are sent through {@code calls}. */
  public EngineAnswerWatch(EngineSender calls, EngineDirectory engines, InstantSource wallClock) {
    this.calls = calls;
    this.engines = engines;
    this.wallClock = wallClock;
  }

  @Override
  public StreamCall send(EngineRequest request, EngineListener listener) {
    long order = engines.nextSendOrder(wallClock.instant());
    return calls.send(request, new WatchedAnswer(request, order, listener));
  }

  @Override
  public List<UpstreamId> enginesWithIdleConnections() {
    return calls.enginesWithIdleConnections();
  }

  @Override
  public CompletableFuture<Boolean> canConnect(EngineEntry engine) {
    return calls.canConnect(engine);
  }

  @Override
  public void reportSilence(EngineEntry engine) {
    calls.reportSilence(engine);
  }

  private void recordLeaving(EngineRequest request, EngineAnswer answer) {
    engines.markLeaving(request.engine().boot(), request.id());
    if (answer.verdict() == EngineAnswer.Verdict.OTHER_ENGINE) {
      listedAtAddressOf(request).forEach(boot -> engines.markLeaving(boot, request.id()));
    }
  }

  /** An answer to another request, which may be older, says nothing about the present. */
  private void recordLimit(EngineRequest request, long order, EngineAnswer answer) {
    switch (answer.verdict()) {
      case MISMATCHED -> {
        // It is not known when its request was sent.
      }
      case OTHER_ENGINE ->
          listedAtAddressOf(request)
              .filter(boot -> !boot.equals(request.engine().boot()))
              .forEach(boot -> recordLimit(boot, request, order, answer.limit()));
      default -> recordLimit(request.engine().boot(), request, order, answer.limit());
    }
  }

  private void recordLimit(EngineBoot boot, EngineRequest request, long order, StatedLimit stated) {
    if (stated instanceof StatedLimit.Unreadable unreadable) {
      engines.recordUnreadableLimit(boot, unreadable.text(), request.id());
      return;
    }
    Option<RequestRate> limit =
        stated instanceof StatedLimit.Limit named ? Option.some(named.rate()) : Option.none();
    engines.recordLimit(boot, new LimitReading(order, limit), request.id());
  }

  private Stream<EngineBoot> listedAtAddressOf(EngineRequest request) {
    return engines.all().stream()
        .filter(e -> e.address().equals(request.engine().address()))
        .map(EngineEntry::boot);
  }

  private final class WatchedAnswer implements EngineListener {
    private final EngineRequest request;
    private final long order;
    private final EngineListener listener;

    WatchedAnswer(EngineRequest request, long order, EngineListener listener) {
      this.request = request;
      this.order = order;
      this.listener = listener;
    }

    @Override
    public void onHead(EngineAnswer head) {
      if (head.leaving()) {
        recordLeaving(request, head);
      }
      recordLimit(request, order, head);
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
