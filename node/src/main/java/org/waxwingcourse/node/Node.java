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
import org.waxwingcourse.node.batch.BatchComponents;
import org.waxwingcourse.node.dispatch.AtMostOnceServiceDispatcher;
import org.waxwingcourse.node.dispatch.DirectServiceDispatcher;
import org.waxwingcourse.node.dispatch.FleetDispatcher;
import org.waxwingcourse.node.member.DrainRoutes;
import org.waxwingcourse.node.member.FleetMember;
import org.waxwingcourse.node.member.HostRoutes;
import org.waxwingcourse.node.metrics.ServiceLevels;
import org.waxwingcourse.node.trace.AdmissionTrace;
import org.waxwingcourse.node.web.ApiErrorHandler;
import org.waxwingcourse.node.web.CallerPorts;
import org.waxwingcourse.node.web.CallerRoutes;
import org.waxwingcourse.node.web.LimitRoutes;
import org.waxwingcourse.node.web.OperatorRoutes;
import org.waxwingcourse.node.web.RequestChecks;
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

/** A node: creates its components and starts and stops them in a fixed order. */
public final class Node implements Service {
  private static final EventLog LOG = EventLog.of(Node.class);
  private static final int CLIENT_THREADS = 2;
  private static final int SERVER_THREADS = 4;
  private static final int OPERATOR_THREADS = 1;
  private static final Duration OPERATOR_IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofMinutes(3);

  private final NodeSettings settings;
  private final ServiceGroup serviceGroup = new ServiceGroup();
  private final MetricRegistry metrics = new MetricRegistry();
  private final FleetMember membership;
  private final FleetAgreement agreement;
  private final HttpServer callers;
  private final BatchRunner batch;
  private final HttpServer operators;

  private Node(NodeSettings settings, InstantSource clock, RandomGenerator random) {
    this.settings = settings;
    HttpCaller http = serviceGroup.add(HttpCaller.of(clock, CLIENT_THREADS));
    EtcdStore store =
        serviceGroup.add(EtcdStore.of(http, clock, EtcdOptions.of(settings.stores())));
    HostList hosts = HttpHostList.of(http, clock, settings.hostList());
    membership = serviceGroup.add(new FleetMember(settings, store, hosts, clock, random));
    membership.registerMetrics(metrics);
    agreement = serviceGroup.add(agreement(clock, random, store));
    ConfigurationSource configuration = agreement.configuration();
    EngineClient engines = serviceGroup.add(EngineClient.of(http, clock, EngineLimits.DEFAULT));
    FleetDispatcher dispatcher =
        serviceGroup.add(
            FleetDispatcher.of(
                    configuration, membership.view(), membership.peers(), engines, clock, random)
                .withModelReconciler(store));
    ServiceClient plainServices =
        ServiceClient.of(http, clock, random, RetryPolicy.of(clock, random));
    CallerPorts ports =
        new CallerPorts(
            clock,
            configuration,
            agreement.authenticator(),
            withTrace(agreement.admission(), clock),
            dispatcher,
            new AtMostOnceServiceDispatcher(
                new DirectServiceDispatcher(plainServices), store, clock),
            Duration.ofMillis(settings.limits().requestBodyMillis()),
            ServiceLevels.of(metrics));
    LimitRoutes limits =
        new LimitRoutes(
            clock,
            settings.limits().headerBytes(),
            settings.limits().connections(),
            settings.limits().requests());
    PlannedStop plannedStop = membership.plannedStop();
    plannedStop.waitFor(limits::requestsInProgress);
    plannedStop.waitFor(dispatcher::forwardedRequestsInProgress);
    ChunkCache cache = BatchComponents.cache(settings.dataFolder());
    List<Routes> routes = routes(ports, limits);
    routes.addAll(BatchComponents.routes(ports, store, cache, random));
    callers = serviceGroup.add(HttpServer.of(callerOptions(), routes, new ApiErrorHandler()));
    batch = serviceGroup.add(BatchComponents.runner(ports, store, settings.host(), cache, random));
    OperatorRoutes status = new OperatorRoutes(metrics, agreement::statusJson, this::isReady);
    operators =
        serviceGroup.add(HttpServer.of(operatorOptions(), List.of(status), new ApiErrorHandler()));
  }

  /** Returns a node with the given settings. */
  public static Node of(NodeSettings settings, InstantSource clock, RandomGenerator random) {
    return new Node(settings, clock, random);
  }

  @Override
  public void start() {
    serviceGroup.start();
    membership.join(callers.port());
    LOG.write(Event.NODE_STARTED, settings.host(), settings.callerAddress());
  }

  /**
   * Performs the planned stop of this host: returns once no caller is directed to this host and no
   * request is in progress.
   */
  public void leave() {
    LOG.write(Event.NODE_STOPPING, settings.host(), "planned stop requested");
    batch.refuseClaims();
    membership.leave();
  }

  /** Returns the hosts of the fleet as this host knows them. */
  public MembershipView members() {
    return membership.view();
  }

  @Override
  public void stop() {
    serviceGroup.stop();
    LOG.write(Event.NODE_STOPPED, settings.host());
  }

  /** Returns whether the node has a configuration and may act on it. */
  public boolean isReady() {
    return agreement.isReady();
  }

  /** Returns the TCP port that callers connect to. */
  public int callerPort() {
    return callers.port();
  }

  /** Returns the TCP port that operators connect to. */
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
        membership.peers(),
        membership.view());
  }

  private List<Routes> routes(CallerPorts ports, LimitRoutes limits) {
    List<Routes> routes = new ArrayList<>();
    routes.add(limits);
    routes.add(new HostRoutes(membership::hostsFor, new RequestChecks(ports)));
    routes.add(new DrainRoutes(membership.plannedStop()::takesRequests, ports.clock()));
    routes.addAll(CallerRoutes.of(ports));
    return routes;
  }

  private Admission withTrace(Admission admission, InstantSource clock) {
    if (settings.traceFile().isEmpty()) {
      return admission;
    }
    Path file = settings.traceFile().get();
    return serviceGroup.add(new AdmissionTrace(admission, settings.host(), clock, file));
  }

  private HttpServer.Options callerOptions() {
    return new HttpServer.Options(
        settings.callers(), SERVER_THREADS, settings.limits().headerBytes(), CALLER_IDLE_TIMEOUT);
  }

  private HttpServer.Options operatorOptions() {
    return new HttpServer.Options(
        settings.operators(),
        OPERATOR_THREADS,
        settings.limits().headerBytes(),
        OPERATOR_IDLE_TIMEOUT);
  }
}
