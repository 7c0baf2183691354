package org.waxwingcourse.fleet.online;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.waxwingcourse.fleet.coordinate.SlotSource;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.quarantine.CrashingRequests;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;

/** Serves online requests: admits them, requests a slot for each and runs it on an engine. */
public final class OnlineService {
  private static final EventLog LOG = EventLog.of(OnlineService.class);

  private final Ports ports;
  private final AtomicInteger unfinished = new AtomicInteger();

  /**
   * The dependencies of the service.
   *
   * @param clock the steady clock
   * @param timer runs scheduled checks, which do not block
   * @param random source for the choice between a route's services
   * @param gate admits requests
   * @param storeView the content of the store as this host knows it
   * @param engines the engines listed in the store
   * @param calls sends requests to engines
   * @param slots requests slots
   * @param crashingRequests the requests under which engines have ended
   * @param streams the software that began the streams of this host's answers
   * @param metrics records outcomes and times
   */
  public record Ports(
      InstantSource clock,
      ScheduledExecutorService timer,
      RandomGenerator random,
      AdmissionGate gate,
      StoreView storeView,
      EngineDirectory engines,
      EngineSender calls,
      SlotSource slots,
      CrashingRequests crashingRequests,
      StreamOrigins streams,
      MetricRegistry metrics) {}

  /** Creates the service. */
  public OnlineService(Ports ports) {
    this.ports = ports;
  }

  /**
   * Serves a request as it was admitted, or answers why it was not. Cancelling the returned call
   * tells the service that the caller has disconnected.
   */
  public Call serve(
      OnlineRequest request, Either<Refusal, AdmissionGate.Admitted> admitted, AnswerSink sink) {
    if (admitted.isLeft()) {
      Refusal refusal = admitted.getLeft();
      LOG.write(
          Event.REQUEST_DENIED,
          request.id(),
          refusal.code(),
          refusal.message(),
          ports.storeView().planRevision().value(),
          ports.storeView().evidence().age().map(a -> a.toMillis() + " ms").getOrElse("none"));
      ports.metrics().counter("requests.denied." + refusal.code().wireName()).inc();
      sink.onEnd(new Outcome.Refused(refusal));
      return () -> {};
    }
    unfinished.incrementAndGet();
    OnlineRun run =
        new OnlineRun(request, admitted.get(), ports, sink, unfinished::decrementAndGet);
    run.start();
    return run;
  }

  /** Returns the number of requests that have not ended. */
  public int activeRequests() {
    return unfinished.get();
  }
}
