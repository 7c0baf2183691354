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

/** An engine that this host owns: its queue, its health and the requests that it has. */
final class OwnedEngine {
  private static final EventLog LOG = EventLog.of(OwnedEngine.class);

  private static final Duration COME_BACK = Duration.ofSeconds(1);

  private final EngineClient client;
  private final InstantSource clock;
  private final Executor actions;
  private final EngineQueue queue;
  private final EngineHealth health;
  private final ConcurrentMap<RequestId, EngineWork> works = new ConcurrentHashMap<>();
  private volatile Engine engine;

  OwnedEngine(Engine engine, EngineClient client, InstantSource clock, Executor actions) {
    this.actions = actions;
    this.engine = engine;
    this.client = client;
    this.clock = clock;
    this.queue = EngineQueue.of(QueueLimits.ofSlots(engine.slots()), clock);
    this.health = EngineHealth.of(clock);
  }

  /** Takes a request into the queue. */
  Call submit(InferenceRequest request, Defaults defaults, AnswerListener listener) {
    EngineWork work = new EngineWork(this, request, listener, clock);
    works.put(request.id(), work);
    Deadline startBy = request.deadline();
    if (request.workClass() == WorkClass.ONLINE) {
      startBy = startBy.earlier(Deadline.after(clock, defaults.firstToken()));
    }
    perform(
        queue.offer(
            new Ticket(request.id(), request.organisation(), request.workClass(), startBy)));
    return work;
  }

  /** Takes a changed declaration of the engine. */
  void declare(Engine declared) {
    if (declared.slots() != engine.slots()) {
      perform(queue.resize(QueueLimits.ofSlots(declared.slots())));
    }
    engine = declared;
  }

  void tick() {
    perform(queue.tick());
  }

  EngineLoad load() {
    return queue.load();
  }

  boolean takesWork() {
    return !engine.leaving() && health.takesWork();
  }

  boolean isIdle() {
    return works.isEmpty();
  }

  Engine engine() {
    return engine;
  }

  EngineClient client() {
    return client;
  }

  void ended(EngineWork work, int tokens) {
    works.remove(work.request().id(), work);
    perform(queue.end(work.request().id(), tokens));
  }

  void stopped(EngineWork work) {
    perform(queue.stopped(work.request().id()));
  }

  void cancelOnEngine(InferenceRequest request) {
    client.cancel(engine, request.id());
  }

  void observe(Instant before, Instant now) {
    queue.observe(Duration.between(before, now).toNanos() / 1e6);
  }

  Outcome unavailable(String message) {
    Instant retryAt = clock.instant().plus(COME_BACK);
    return new Outcome.Refused(new Refusal(RefusalCode.UNAVAILABLE, message, retryAt));
  }

  /** Asks the engine on a new connection whether it is alive. */
  void probe(Consumer<Boolean> onResult) {
    client.probe(engine).thenAccept(onResult);
  }

  /** Probes the engine; called every second, also without traffic. */
  void check() {
    probe(this::probed);
  }

  /** Takes an outcome as evidence about the engine; what was lost is checked by a probe first. */
  void judge(Outcome outcome) {
    if (outcome instanceof Outcome.Done) {
      health.succeeded();
    } else if (outcome instanceof Outcome.Failed) {
      blame();
    } else {
      probe(this::probed);
    }
  }

  private void probed(boolean alive) {
    if (!alive) {
      blame();
    }
  }

  private void blame() {
    boolean before = health.takesWork();
    health.failed();
    if (before && !health.takesWork()) {
      LOG.write(Event.ENGINE_EJECTED, engine.id(), health.ejectedUntil().at());
      actions.execute(() -> List.copyOf(works.values()).forEach(EngineWork::giveUp));
    }
  }

  /** Carries actions out in order, outside all locks. */
  private void perform(Actions list) {
    if (!list.isEmpty()) {
      actions.execute(() -> performNow(list));
    }
  }

  private void performNow(Actions list) {
    for (Actions.Rejection refused : list.refuse()) {
      withWork(refused.id(), work -> work.end(new Outcome.Refused(refused.refusal())));
    }
    list.yield().forEach(id -> withWork(id, EngineWork::yieldSlot));
    list.start().forEach(id -> withWork(id, EngineWork::start));
  }

  private void withWork(RequestId id, Consumer<EngineWork> action) {
    EngineWork work = works.get(id);
    if (work != null) {
      action.accept(work);
    }
  }
}
