package org.waxwingcourse.fleet.reach;

import io.vavr.control.Option;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;

/** Engines that stream a few events to the hosts that reach them. */
final class CutOffEngines {
  static final int EVENTS = 5;
  private static final long EVENT_INTERVAL_MILLIS = 15;
  private static final long CONNECT_TIMEOUT_MILLIS = 700;
  private static final long CHECK_TIMEOUT_MILLIS = 250;

  /** How connections of a host to engines fail. */
  enum Cut {
    NONE,
    REFUSED,
    SILENT
  }

  final Map<HostId, Cut> cuts = new ConcurrentHashMap<>();

  /** Engines whose machines refuse connections. */
  final Set<UpstreamId> lost = ConcurrentHashMap.newKeySet();

  /** How often each request has reached an engine. */
  final Map<String, Integer> runs = new ConcurrentHashMap<>();

  private final ScheduledExecutorService timer;

  CutOffEngines(ScheduledExecutorService timer) {
    this.timer = timer;
  }

  /** Returns what the given host sends requests with. */
  EngineSender senderOf(HostId host) {
    return new EngineSender() {
      @Override
      public StreamCall send(EngineRequest request, EngineListener listener) {
        Run run = new Run(request, listener);
        timer.execute(() -> run.connect(cutBetween(host, request.engine().id())));
        return run::cancel;
      }

      @Override
      public CompletableFuture<Boolean> canConnect(EngineEntry engine) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        Cut cut = cutBetween(host, engine.id());
        long delay = cut == Cut.SILENT ? CHECK_TIMEOUT_MILLIS : 1;
        timer.schedule(() -> result.complete(cut == Cut.NONE), delay, TimeUnit.MILLISECONDS);
        return result;
      }
    };
  }

  private Cut cutBetween(HostId host, UpstreamId engine) {
    return lost.contains(engine) ? Cut.REFUSED : cuts.getOrDefault(host, Cut.NONE);
  }

  private final class Run {
    private final EngineRequest request;
    private final EngineListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private long lastEvent;

    Run(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
      this.lastEvent = request.resumeAfter().getOrElse(0L);
    }

    void connect(Cut cut) {
      switch (cut) {
        case REFUSED ->
            end(Option.some(CallFailure.notConnected(new ConnectException("Connection refused"))));
        case SILENT ->
            timer.schedule(
                () -> end(Option.some(CallFailure.notConnected(new ConnectException("timed out")))),
                CONNECT_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
        default -> {
          runs.merge(request.id().value(), 1, Integer::sum);
          listener.onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
          sendNext();
        }
      }
    }

    private void sendNext() {
      if (ended.get()) {
        return;
      }
      if (lastEvent == EVENTS) {
        end(Option.none());
        return;
      }
      lastEvent++;
      listener.onBytes(("id: " + lastEvent + "\ndata: w\n\n").getBytes(StandardCharsets.UTF_8));
      timer.schedule(this::sendNext, EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    void cancel() {
      end(Option.some(new CallFailure(CallFailure.Kind.CANCELLED, "cancelled")));
    }

    private void end(Option<CallFailure> failure) {
      if (ended.compareAndSet(false, true)) {
        listener.onEnd(failure);
      }
    }
  }
}
