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

  /** The host that has last sent each request to an engine. */
  final Map<String, HostId> senderOfRun = new ConcurrentHashMap<>();

  /** Time between two events of a stream. */
  volatile long eventIntervalMillis = 15;

  private final Map<HostId, HostSender> senders = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer;

  CutOffEngines(ScheduledExecutorService timer) {
    this.timer = timer;
  }

  /** Returns what a new process of the given host sends requests with. */
  EngineSender senderOf(HostId host) {
    HostSender sender = new HostSender(host);
    senders.put(host, sender);
    return sender;
  }

  /** Ends all that the host's process has sent; nobody learns of it. */
  void endProcessOf(HostId host) {
    HostSender sender = senders.get(host);
    sender.isRunning = false;
    sender.runs.forEach(r -> r.ended.set(true));
  }

  /** Returns the number of streams that the given host's process receives from engines. */
  long countUnderWay(HostId host) {
    return senders.get(host).runs.stream().filter(r -> !r.ended.get()).count();
  }

  private final class HostSender implements EngineSender {
    private final HostId host;
    private final Set<Run> runs = ConcurrentHashMap.newKeySet();
    private volatile boolean isRunning = true;

    HostSender(HostId host) {
      this.host = host;
    }

    @Override
    public StreamCall send(EngineRequest request, EngineListener listener) {
      Run run = new Run(host, request, listener);
      runs.add(run);
      timer.execute(() -> run.connect(cutBetween(host, request.engine().id()), isRunning));
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
  }

  private Cut cutBetween(HostId host, UpstreamId engine) {
    return lost.contains(engine) ? Cut.REFUSED : cuts.getOrDefault(host, Cut.NONE);
  }

  private final class Run {
    private final HostId host;
    private final EngineRequest request;
    private final EngineListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private long lastEvent;

    Run(HostId host, EngineRequest request, EngineListener listener) {
      this.host = host;
      this.request = request;
      this.listener = listener;
      this.lastEvent = request.resumeAfter().getOrElse(0L);
    }

    void connect(Cut cut, boolean isRunning) {
      if (!isRunning || ended.get()) {
        ended.set(true);
        return;
      }
      switch (cut) {
        case REFUSED ->
            end(Option.some(CallFailure.notConnected(new ConnectException("Connection refused"))));
        case SILENT ->
            timer.schedule(
                () -> end(Option.some(CallFailure.notConnected(new ConnectException("timed out")))),
                CONNECT_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
        default -> {
          senderOfRun.put(request.id().value(), host);
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
      timer.schedule(this::sendNext, eventIntervalMillis, TimeUnit.MILLISECONDS);
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
