package org.waxwingcourse.node;

import com.codahale.metrics.MetricRegistry;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.waxwingcourse.batch.cache.ChunkCache;
import org.waxwingcourse.batch.run.BatchRunner;
import org.waxwingcourse.config.settings.NodeSettings;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.server.HttpServer;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.service.ServiceGroup;
import org.waxwingcourse.node.agree.FleetAgreement;
import org.waxwingcourse.node.batch.BatchParts;
import org.waxwingcourse.node.dispatch.DirectServiceDispatcher;
import org.waxwingcourse.node.dispatch.FleetDispatcher;
import org.waxwingcourse.node.dispatch.OnceServiceDispatcher;
import org.waxwingcourse.node.member.DrainRoutes;
import org.waxwingcourse.node.member.FleetMember;
import org.waxwingcourse.node.member.HostRoutes;
import org.waxwingcourse.node.metrics.ServiceLevels;
import org.waxwingcourse.node.trace.AdmissionTrace;
import org.waxwingcourse.node.web.ApiErrors;
import org.waxwingcourse.node.web.CallerPorts;
import org.waxwingcourse.node.web.CallerRoutes;
import org.waxwingcourse.node.web.Gate;
import org.waxwingcourse.node.web.LimitRoutes;
import org.waxwingcourse.node.web.OperatorRoutes;
import org.waxwingcourse.policy.hosts.PlannedStop;
import org.waxwingcourse.policy.retry.RetryPolicy;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.etcd.EtcdOptions;
import org.waxwingcourse.store.etcd.EtcdStore;
import org.waxwingcourse.store.hosts.HostList;
import org.waxwingcourse.store.hosts.HttpHostList;
import org.waxwingcourse.upstream.engine.EngineClient;
import org.waxwingcourse.upstream.engine.EngineLimits;
import org.waxwingcourse.upstream.service.ServiceClient;

/** One node: joins the parts and starts and stops them in order. */
public final class Node implements Service {
  private static final EventLog LOG = EventLog.of(Node.class);
  private static final int CLIENT_THREADS = 2;
  private static final int SERVER_THREADS = 4;
  private static final int OPERATOR_THREADS = 1;
  private static final Duration OPERATOR_IDLE = Duration.ofSeconds(30);
  private static final Duration CALLER_IDLE = Duration.ofMinutes(3);

  private final NodeSettings settings;
  private final ServiceGroup services = new ServiceGroup();
  private final MetricRegistry metrics = new MetricRegistry();
  private final FleetMember member;
  private final FleetAgreement agreement;
  private final HttpServer callers;
  private final BatchRunner batch;
  private final HttpServer operators;

  private Node(NodeSettings settings, InstantSource clock, RandomGenerator random) {
    this.settings = settings;
    HttpCaller http = services.add(HttpCaller.of(clock, CLIENT_THREADS));
    EtcdStore store = services.add(EtcdStore.of(http, clock, EtcdOptions.of(settings.stores())));
    HostList hosts = HttpHostList.of(http, clock, settings.hostList());
    member = services.add(new FleetMember(settings, store, hosts, clock, random));
    member.register(metrics);
    agreement = services.add(agreement(clock, random, store));
    ConfigurationSource configuration = agreement.configuration();
    EngineClient engines = services.add(EngineClient.of(http, clock, EngineLimits.DEFAULT));
    FleetDispatcher dispatcher =
        services.add(
            FleetDispatcher.of(configuration, member.view(), member.peers(), engines, clock, random)
                .withOrders(store));
    ServiceClient plainServices =
        ServiceClient.of(http, clock, random, RetryPolicy.of(clock, random));
    CallerPorts ports =
        new CallerPorts(
            clock,
            configuration,
            agreement.authenticator(),
            traced(agreement.admission(), clock),
            dispatcher,
            new OnceServiceDispatcher(new DirectServiceDispatcher(plainServices), store, clock),
            Duration.ofMillis(settings.limits().requestBodyMillis()),
            ServiceLevels.of(metrics));
    LimitRoutes limits =
        new LimitRoutes(
            clock,
            settings.limits().headerBytes(),
            settings.limits().connections(),
            settings.limits().requests());
    PlannedStop stop = member.plannedStop();
    stop.waitFor(limits::requestsInProgress);
    stop.waitFor(dispatcher::requestsServed);
    ChunkCache cache = BatchParts.cache(settings.dataFolder());
    List<Routes> routes = routes(ports, limits);
    routes.addAll(BatchParts.routes(ports, store, cache, random));
    callers = services.add(HttpServer.of(callerOptions(), routes, new ApiErrors()));
    batch = services.add(BatchParts.runner(ports, store, settings.host(), cache, random));
    OperatorRoutes status = new OperatorRoutes(metrics, agreement::statusJson, this::isReady);
    operators = services.add(HttpServer.of(operatorOptions(), List.of(status), new ApiErrors()));
  }

  /** Returns a node with the given settings. */
  public static Node of(NodeSettings settings, InstantSource clock, RandomGenerator random) {
    return new Node(settings, clock, random);
  }

  @Override
  public void start() {
    services.start();
    member.join(callers.port());
    LOG.write(Event.NODE_STARTED, settings.host(), settings.callerAddress());
  }

  /**
   * Leaves the fleet as planned: returns once no caller is sent here and no request is underway.
   */
  public void leave() {
    LOG.write(Event.NODE_STOPPING, settings.host(), "told to stop");
    batch.refuseClaims();
    member.leave();
  }

  /** Returns the hosts as this one knows them. */
  public MembershipView members() {
    return member.view();
  }

  @Override
  public void stop() {
    services.stop();
    LOG.write(Event.NODE_STOPPED, settings.host());
  }

  /** Tells whether the node has a configuration and may act on it. */
  public boolean isReady() {
    return agreement.isReady();
  }

  /** Returns the port that callers connect to. */
  public int callerPort() {
    return callers.port();
  }

  /** Returns the port that operators connect to. */
  public int operatorPort() {
    return operators.port();
  }

  private FleetAgreement agreement(InstantSource clock, RandomGenerator random, Store store) {
    return new FleetAgreement(
        settings.host(),
        settings.dataCentre(),
        clock,
        random,
        store,
        member.peers(),
        member.view());
  }

  private List<Routes> routes(CallerPorts ports, LimitRoutes limits) {
    List<Routes> routes = new ArrayList<>();
    routes.add(limits);
    routes.add(new HostRoutes(member::answer, new Gate(ports)));
    routes.add(new DrainRoutes(member.plannedStop()::takesRequests, ports.clock()));
    routes.addAll(CallerRoutes.of(ports));
    return routes;
  }

  private Admission traced(Admission admission, InstantSource clock) {
    if (settings.traceFile().isEmpty()) {
      return admission;
    }
    Path file = settings.traceFile().get();
    return services.add(new AdmissionTrace(admission, settings.host(), clock, file));
  }

  private HttpServer.Options callerOptions() {
    return new HttpServer.Options(
        settings.callers(), SERVER_THREADS, settings.limits().headerBytes(), CALLER_IDLE);
  }

  private HttpServer.Options operatorOptions() {
    return new HttpServer.Options(
        settings.operators(), OPERATOR_THREADS, settings.limits().headerBytes(), OPERATOR_IDLE);
  }
}
