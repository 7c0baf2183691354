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
 * Runs each request at the owner of an engine of its model: here if this host owns it, else through
 * the host that does. Tells the other hosts the load of its own engines.
 */
public final class FleetDispatcher implements Dispatcher, Service {
  private static final EventLog LOG = EventLog.of(FleetDispatcher.class);
  private static final long TICK_MILLIS = 10;
  private static final long LOAD_MILLIS = 250;
  private static final long CHECK_MILLIS = 1000;
  private static final long RECONCILE_MILLIS = 5000;
  private static final int MAX_LOAD_RECEIVERS = 16;
  private static final int PREFIX_BLOCKS = 65_536;
  private static final Duration COME_BACK = Duration.ofSeconds(1);

  private final ConfigurationSource configuration;
  private final MembershipView members;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RetryPolicy retries;
  private final ScheduledExecutorService timer;
  private final EngineTable engines;
  private final LoadTable loads;
  private final Forwarder forwarder;
  private final EnginePicker picker;
  private final EngineClient client;
  private Consumer<Engine> reconcile = engine -> {};

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
    this.timer = Executors.newSingleThreadScheduledExecutor(FleetDispatcher::thread);
    this.engines = new EngineTable(members, client, clock, timer);
    this.loads = new LoadTable(clock);
    this.forwarder =
        new Forwarder(new PeerOutbox(peers, timer), members, clock, this::runHere, loads::take);
    this.picker = EnginePicker.of(PrefixIndex.of(PREFIX_BLOCKS), random);
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

  /** Has the owners of engines order the declared models, with fencing numbers of the store. */
  public FleetDispatcher withOrders(Store store) {
    EngineOrders orders = new EngineOrders(store, client, members.self().id(), clock);
    reconcile = orders::reconcile;
    return this;
  }

  @Override
  public void start() {
    every(TICK_MILLIS, () -> engines.all().forEach(OwnedEngine::tick));
    every(LOAD_MILLIS, this::spreadLoads);
    every(CHECK_MILLIS, this::check);
    every(RECONCILE_MILLIS, this::reconcile);
  }

  @Override
  public void stop() {
    timer.shutdownNow();
  }

  @Override
  public Call submit(InferenceRequest request, AnswerListener listener) {
    retries.onRequest();
    DispatchAttempts attempts = new DispatchAttempts(this, request, listener);
    attempts.begin();
    return attempts;
  }

  /** Sends a request to one engine that is not in {@code tried}, or to any if all were tried. */
  Call send(InferenceRequest request, List<UpstreamId> tried, AnswerListener listener) {
    List<EngineView> able = able(request);
    List<EngineView> fresh = able.stream().filter(e -> !tried.contains(e.id())).toList();
    UpstreamId engine =
        picker.pick(fresh.isEmpty() ? able : fresh, request.promptPrefix()).getOrNull();
    if (engine == null) {
      listener.onEnd(noEngine(request));
      return () -> {};
    }
    tried.add(engine);
    HostId owner = engines.ownerOf(engine);
    if (owner.equals(members.self().id())) {
      return runHere(engine, request, listener);
    }
    loads.sent(engine);
    return forwarder.submit(owner, engine, request, listener);
  }

  /** Returns how many requests of other hosts run here. */
  public int requestsServed() {
    return forwarder.served();
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

  private Call runHere(UpstreamId id, InferenceRequest request, AnswerListener listener) {
    FleetConfiguration fleet = configuration.current().orElse(null);
    Engine engine = fleet == null ? null : fleet.engines().get(id);
    if (engine == null || engine.leaving()) {
      listener.onEnd(noEngine(request));
      return () -> {};
    }
    return engines.get(engine).submit(request, fleet.defaults(), listener);
  }

  private List<EngineView> able(InferenceRequest request) {
    List<EngineView> able = new ArrayList<>();
    configuration
        .current()
        .ifPresent(
            fleet -> {
              for (Engine engine : fleet.engines().values()) {
                if (!engine.leaving() && engine.models().contains(request.model())) {
                  view(engine, request, able);
                }
              }
            });
    return able;
  }

  private void view(Engine engine, InferenceRequest request, List<EngineView> able) {
    if (engines.isOwn(engine.id())) {
      OwnedEngine own = engines.get(engine);
      if (own.takesWork()) {
        double load = LoadTable.perSlot(own.load(), request.workClass());
        able.add(new EngineView(engine.id(), load));
      }
    } else if (loads.takesWork(engine.id())) {
      able.add(new EngineView(engine.id(), loads.load(engine.id(), request.workClass())));
    }
  }

  private void check() {
    configuration.current().ifPresent(engines::declare);
    engines.all().forEach(OwnedEngine::check);
    forwarder.check();
  }

  private void reconcile() {
    for (OwnedEngine own : engines.all()) {
      if (engines.isOwn(own.engine().id()) && own.takesWork()) {
        reconcile.accept(own.engine());
      }
    }
  }

  private void spreadLoads() {
    List<HostId> others = new ArrayList<>();
    for (Member member : members.members()) {
      if (!member.id().equals(members.self().id())) {
        others.add(member.id());
      }
    }
    Collections.shuffle(others, new Random(random.nextLong()));
    List<HostId> receivers = others.subList(0, Math.min(MAX_LOAD_RECEIVERS, others.size()));
    for (OwnedEngine own : engines.all()) {
      if (engines.isOwn(own.engine().id())) {
        DispatchLoad load = DispatchCodec.encode(own.engine().id(), own.load(), own.takesWork());
        receivers.forEach(host -> forwarder.sendLoad(host, load));
      }
    }
  }

  private void every(long millis, Runnable task) {
    timer.scheduleWithFixedDelay(() -> guarded(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  private static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.write(Event.BROKEN_INVARIANT, e);
    }
  }

  private Outcome noEngine(InferenceRequest request) {
    return new Outcome.Refused(
        new Refusal(
            RefusalCode.UNAVAILABLE,
            "no engine takes work for model \"" + request.model() + "\"",
            clock.instant().plus(COME_BACK)));
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "dispatch");
    thread.setDaemon(true);
    return thread;
  }
}
