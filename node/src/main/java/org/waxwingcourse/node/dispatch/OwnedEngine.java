package org.waxwingcourse.node.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.queue.Actions;
import org.waxwingcourse.policy.queue.EngineLoad;
import org.waxwingcourse.policy.queue.EngineQueue;
import org.waxwingcourse.policy.queue.QueueLimits;
import org.waxwingcourse.policy.queue.Ticket;
import org.waxwingcourse.policy.route.EngineHealth;
import org.waxwingcourse.upstream.engine.EngineClient;

/** An engine that this host owns, with its queue, its health and its requests. */
final class OwnedEngine {
  private static final EventLog LOG = EventLog.of(OwnedEngine.class);

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private final EngineClient client;
  private final InstantSource clock;
  private final Executor actionExecutor;
  private final EngineQueue queue;
  private final EngineHealth health;
  private final ConcurrentMap<RequestId, QueuedRequest> requests = new ConcurrentHashMap<>();
  private volatile Engine engine;

  OwnedEngine(Engine engine, EngineClient client, InstantSource clock, Executor actionExecutor) {
    this.actionExecutor = actionExecutor;
    this.engine = engine;
    this.client = client;
    this.clock = clock;
    this.queue = EngineQueue.of(QueueLimits.ofSlots(engine.slots()), clock);
    this.health = EngineHealth.of(clock);
  }

  /** Adds a request to the queue. */
  Call submit(InferenceRequest request, Defaults defaults, AnswerListener listener) {
    QueuedRequest queuedRequest = new QueuedRequest(this, request, listener, clock);
    requests.put(request.id(), queuedRequest);
    Deadline startBy = request.deadline();
    if (request.workClass() == WorkClass.ONLINE) {
      startBy = startBy.earlier(Deadline.after(clock, defaults.firstToken()));
    }
    performActions(
        queue.offer(
            new Ticket(request.id(), request.organisation(), request.workClass(), startBy)));
    return queuedRequest;
  }

  /** Applies a changed declaration of the engine. */
  void updateDeclaration(Engine declared) {
    if (declared.slots() != engine.slots()) {
      performActions(queue.resize(QueueLimits.ofSlots(declared.slots())));
    }
    engine = declared;
  }

  void tick() {
    performActions(queue.tick());
  }

  EngineLoad load() {
    return queue.load();
  }

  boolean takesWork() {
    return !engine.leaving() && health.takesWork();
  }

  boolean isIdle() {
    return requests.isEmpty();
  }

  Engine engine() {
    return engine;
  }

  EngineClient client() {
    return client;
  }

  void onRequestEnded(QueuedRequest queuedRequest, int tokens) {
    requests.remove(queuedRequest.request().id(), queuedRequest);
    performActions(queue.end(queuedRequest.request().id(), tokens));
  }

  void onRequestYielded(QueuedRequest queuedRequest) {
    performActions(queue.stopped(queuedRequest.request().id()));
  }

  void cancelOnEngine(InferenceRequest request) {
    client.cancel(engine, request.id());
  }

  void recordTokenInterval(Instant before, Instant now) {
    queue.observe(Duration.between(before, now).toNanos() / 1e6);
  }

  Outcome unavailable(String message) {
    Instant retryAt = clock.instant().plus(RETRY_DELAY);
    return new Outcome.Refused(new Refusal(RefusalCode.UNAVAILABLE, message, retryAt));
  }

  /** Checks on a new connection whether the engine responds. */
  void probe(Consumer<Boolean> onResult) {
    client.probe(engine).thenAccept(onResult);
  }

  /** Probes the engine; called every second, also without traffic. */
  void checkHealth() {
    probe(this::onProbeResult);
  }

  /**
   * Updates the health of the engine from an outcome; an outcome that is neither a success nor a
   * failure is checked with a probe first.
   */
  void recordOutcome(Outcome outcome) {
    if (outcome instanceof Outcome.Done) {
      health.succeeded();
    } else if (outcome instanceof Outcome.Failed) {
      recordFailure();
    } else {
      probe(this::onProbeResult);
    }
  }

  private void onProbeResult(boolean alive) {
    if (!alive) {
      recordFailure();
    }
  }

  private void recordFailure() {
    boolean before = health.takesWork();
    health.failed();
    if (before && !health.takesWork()) {
      LOG.write(Event.ENGINE_EJECTED, engine.id(), health.ejectedUntil().at());
      actionExecutor.execute(
          () -> List.copyOf(requests.values()).forEach(QueuedRequest::endIfNotStarted));
    }
  }

  /** Performs actions in order, outside all locks. */
  private void performActions(Actions actions) {
    if (!actions.isEmpty()) {
      actionExecutor.execute(() -> performNow(actions));
    }
  }

  private void performNow(Actions actions) {
    for (Actions.Rejection refused : actions.refuse()) {
      withRequest(
          refused.id(), queuedRequest -> queuedRequest.end(new Outcome.Refused(refused.refusal())));
    }
    actions.yield().forEach(id -> withRequest(id, QueuedRequest::yieldSlot));
    actions.start().forEach(id -> withRequest(id, QueuedRequest::start));
  }

  private void withRequest(RequestId id, Consumer<QueuedRequest> action) {
    QueuedRequest queuedRequest = requests.get(id);
    if (queuedRequest != null) {
      action.accept(queuedRequest);
    }
  }
}
