package org.waxwingcourse.node.dispatch;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Dispatcher;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.policy.retry.RetryPolicy;
import org.waxwingcourse.policy.route.EnginePicker;
import org.waxwingcourse.policy.route.EngineView;
import org.waxwingcourse.policy.route.PrefixIndex;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.upstream.engine.EngineClient;
import org.waxwingcourse.wire.DispatchLoad;

/**
 * Dispatches each request to the owner of an engine that serves its model: locally if this host
 * owns the engine, otherwise through the host that does. Reports the load of this host's engines to
 * other hosts.
 */
public final class FleetDispatcher implements Dispatcher, Service {
  private static final EventLog LOG = EventLog.of(FleetDispatcher.class);
  private static final long QUEUE_TICK_MILLIS = 10;
  private static final long LOAD_REPORT_MILLIS = 250;
  private static final long HEALTH_CHECK_MILLIS = 1000;
  private static final long RECONCILE_MILLIS = 5000;
  private static final int MAX_LOAD_REPORT_RECEIVERS = 16;
  private static final int PREFIX_INDEX_BLOCKS = 65_536;
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private final ConfigurationSource configuration;
  private final MembershipView members;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RetryPolicy retries;
  private final ScheduledExecutorService timer;
  private final EngineTable engines;
  private final RemoteEngineLoads remoteLoads;
  private final CallForwarder forwarder;
  private final EnginePicker picker;
  private final EngineClient client;
  private Consumer<Engine> modelReconciler = engine -> {};

  private FleetDispatcher(
      ConfigurationSource configuration,
      MembershipView members,
      Peers peers,
      EngineClient client,
      InstantSource clock,
      RandomGenerator random) {
    this.configuration = configuration;
    this.client = client;
    this.members = members;
    this.clock = clock;
    this.random = random;
    this.retries = RetryPolicy.of(clock, random);
    this.timer = Executors.newSingleThreadScheduledExecutor(FleetDispatcher::newTimerThread);
    this.engines = new EngineTable(members, client, clock, timer);
    this.remoteLoads = new RemoteEngineLoads(clock);
    this.forwarder =
        new CallForwarder(
            new PeerOutbox(peers, timer), members, clock, this::runLocally, remoteLoads::update);
    this.picker = EnginePicker.of(PrefixIndex.of(PREFIX_INDEX_BLOCKS), random);
    peers.handle(Channel.DISPATCH, forwarder::onMessage);
  }

  /** Returns a dispatcher over the engines of the configuration in force. */
  public static FleetDispatcher of(
      ConfigurationSource configuration,
      MembershipView members,
      Peers peers,
      EngineClient client,
      InstantSource clock,
      RandomGenerator random) {
    return new FleetDispatcher(configuration, members, peers, client, clock, random);
  }

  /**
   * Makes owners order their engines to load the declared models, with fencing numbers from the
   * store.
   */
  public FleetDispatcher withModelReconciler(Store store) {
    ModelReconciler reconciler = new ModelReconciler(store, client, members.self().id(), clock);
    modelReconciler = reconciler::reconcile;
    return this;
  }

  @Override
  public void start() {
    scheduleRepeatedly(QUEUE_TICK_MILLIS, () -> engines.all().forEach(OwnedEngine::tick));
    scheduleRepeatedly(LOAD_REPORT_MILLIS, this::sendLoadReports);
    scheduleRepeatedly(HEALTH_CHECK_MILLIS, this::checkEnginesAndCalls);
    scheduleRepeatedly(RECONCILE_MILLIS, this::reconcile);
  }

  @Override
  public void stop() {
    timer.shutdownNow();
  }

  @Override
  public Call submit(InferenceRequest request, AnswerListener listener) {
    retries.onRequest();
    DispatchAttempts attempts = new DispatchAttempts(this, request, listener);
    attempts.startAttempt();
    return attempts;
  }

  /**
   * Sends a request to an engine that is not in {@code triedEngines}, or to any engine if all were
   * tried.
   */
  Call sendToEngine(
      InferenceRequest request, List<UpstreamId> triedEngines, AnswerListener listener) {
    List<EngineView> candidates = candidates(request);
    List<EngineView> untried =
        candidates.stream().filter(e -> !triedEngines.contains(e.id())).toList();
    UpstreamId engine =
        picker.pick(untried.isEmpty() ? candidates : untried, request.promptPrefix()).getOrNull();
    if (engine == null) {
      listener.onEnd(noEngineAvailable(request));
      return () -> {};
    }
    triedEngines.add(engine);
    HostId owner = engines.ownerOf(engine);
    if (owner.equals(members.self().id())) {
      return runLocally(engine, request, listener);
    }
    remoteLoads.recordSent(engine);
    return forwarder.submit(owner, engine, request, listener);
  }

  /** Returns the number of requests that this host runs for other hosts. */
  public int forwardedRequestsInProgress() {
    return forwarder.servedCallCount();
  }

  RetryPolicy retries() {
    return retries;
  }

  ScheduledExecutorService timer() {
    return timer;
  }

  InstantSource clock() {
    return clock;
  }

  private Call runLocally(UpstreamId id, InferenceRequest request, AnswerListener listener) {
    FleetConfiguration fleet = configuration.current().orElse(null);
    Engine engine = fleet == null ? null : fleet.engines().get(id);
    if (engine == null || engine.leaving()) {
      listener.onEnd(noEngineAvailable(request));
      return () -> {};
    }
    return engines.getOrCreate(engine).submit(request, fleet.defaults(), listener);
  }

  private List<EngineView> candidates(InferenceRequest request) {
    List<EngineView> candidates = new ArrayList<>();
    configuration
        .current()
        .ifPresent(
            fleet -> {
              for (Engine engine : fleet.engines().values()) {
                if (!engine.leaving() && engine.models().contains(request.model())) {
                  addCandidate(engine, request, candidates);
                }
              }
            });
    return candidates;
  }

  private void addCandidate(Engine engine, InferenceRequest request, List<EngineView> candidates) {
    if (engines.isOwn(engine.id())) {
      OwnedEngine ownedEngine = engines.getOrCreate(engine);
      if (ownedEngine.takesWork()) {
        double load = RemoteEngineLoads.perSlot(ownedEngine.load(), request.workClass());
        candidates.add(new EngineView(engine.id(), load));
      }
    } else if (remoteLoads.takesWork(engine.id())) {
      candidates.add(
          new EngineView(engine.id(), remoteLoads.load(engine.id(), request.workClass())));
    }
  }

  private void checkEnginesAndCalls() {
    configuration.current().ifPresent(engines::applyDeclarations);
    engines.all().forEach(OwnedEngine::checkHealth);
    forwarder.checkCalls();
  }

  private void reconcile() {
    for (OwnedEngine ownedEngine : engines.all()) {
      if (engines.isOwn(ownedEngine.engine().id()) && ownedEngine.takesWork()) {
        modelReconciler.accept(ownedEngine.engine());
      }
    }
  }

  private void sendLoadReports() {
    List<HostId> others = new ArrayList<>();
    for (Member member : members.members()) {
      if (!member.id().equals(members.self().id())) {
        others.add(member.id());
      }
    }
    Collections.shuffle(others, new Random(random.nextLong()));
    List<HostId> receivers = others.subList(0, Math.min(MAX_LOAD_REPORT_RECEIVERS, others.size()));
    for (OwnedEngine ownedEngine : engines.all()) {
      if (engines.isOwn(ownedEngine.engine().id())) {
        DispatchLoad load =
            DispatchCodec.encode(
                ownedEngine.engine().id(), ownedEngine.load(), ownedEngine.takesWork());
        receivers.forEach(host -> forwarder.sendLoad(host, load));
      }
    }
  }

  private void scheduleRepeatedly(long millis, Runnable task) {
    timer.scheduleWithFixedDelay(() -> runGuarded(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.write(Event.BROKEN_INVARIANT, e);
    }
  }

  private Outcome noEngineAvailable(InferenceRequest request) {
    return new Outcome.Refused(
        new Refusal(
            RefusalCode.UNAVAILABLE,
            "no engine accepts work for model \"" + request.model() + "\"",
            clock.instant().plus(RETRY_DELAY)));
  }

  private static Thread newTimerThread(Runnable task) {
    Thread thread = new Thread(task, "dispatch");
    thread.setDaemon(true);
    return thread;
  }
}
