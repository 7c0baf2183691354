package org.waxwingcourse.fleet.reach;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.waxwingcourse.fleet.Evacuations;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.FleetNode;
import org.waxwingcourse.fleet.FleetSettings;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.online.AnswerSink;
import org.waxwingcourse.fleet.online.OnlineRequest;
import org.waxwingcourse.fleet.plan.CallerLimits;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.plan.RouteTable;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;

/** Hosts in one process that share a store and connect over loopback. */
abstract class FleetOfHosts {
  static final int ENGINES = 6;
  static final Route STREAMS = FleetFixtures.onlineRoute(RequestKind.STREAM);

  /** A route whose requests may run at most once. */
  static final Route ONCE =
      new Route(
          "once",
          "h",
          "/once/",
          RequestKind.AT_MOST_ONCE,
          STREAMS.timeout(),
          STREAMS.objective(),
          STREAMS.gapObjective(),
          0,
          STREAMS.services(),
          4,
          true,
          false,
          Option.none(),
          HomeRegions.ANY);

  private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);

  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  final CutOffEngines engines = new CutOffEngines(timer);
  final List<FleetNode> hosts = new ArrayList<>();
  private final InstantSource clock = MonotonicClock.start();
  private final MemoryStore store = MemoryStore.of(clock);
  private final int hostCount;

  /** Answers that repeat, omit or reorder events. */
  final Queue<String> brokenAnswers = new ConcurrentLinkedQueue<>();

  private final Map<String, HostId> askedHosts = new ConcurrentHashMap<>();
  private int lastRequest;

  FleetOfHosts(int hostCount) {
    this.hostCount = hostCount;
  }

  @BeforeEach
  final void start() throws Exception {
    Transaction.Builder entries = Transaction.builder().put("o/plan", "plan");
    for (int i = 1; i <= ENGINES; i++) {
      Entry engine = FleetFixtures.engineEntry("engine-" + i, i, 8, false, 1, 1);
      entries.put(engine.key(), engine.text());
    }
    store.write(entries.build()).get();
    for (int i = 0; i < hostCount; i++) {
      hosts.add(createHost(i));
    }
    hosts.forEach(FleetNode::start);
    long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
    while (!hosts.stream().allMatch(FleetNode::isReady) && System.nanoTime() < deadline) {
      Thread.sleep(20);
    }
    assertThat(hosts).allMatch(FleetNode::isReady);
    // Until the coordinator has seen all hosts, it grants a part of the slots only.
    Thread.sleep(500);
  }

  @AfterEach
  final void stop() {
    hosts.forEach(FleetNode::stop);
    timer.shutdownNow();
  }

  /** Ends a host's process without notice to its callers. */
  final void stopHost(int host) {
    engines.endProcessOf(idOf(host));
    hosts.get(host).stop();
  }

  /** Starts a new process of a host that was stopped. */
  final void restartHost(int host) throws IOException {
    hosts.set(host, createHost(host));
    hosts.get(host).start();
  }

  static HostId idOf(int host) {
    return HostId.of("host-" + host);
  }

  private FleetNode createHost(int i) throws IOException {
    FleetSettings settings =
        new FleetSettings(
            idOf(i),
            FleetFixtures.DATA_CENTRE,
            "r",
            new InetSocketAddress("127.0.0.1", freePort()),
            Option.some(new InetSocketAddress("127.0.0.1", 1)),
            Duration.ofSeconds(5),
            Duration.ofSeconds(8),
            Duration.ofSeconds(120));
    return new FleetNode(
        settings,
        new FleetNode.Dependencies(
            store,
            new StoreFollower.Sources(KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix("e/")),
            new NoEvacuations(),
            entry -> Option.none(),
            document ->
                Either.right(
                    new Plan(
                        1,
                        RouteTable.of(List.of(STREAMS, ONCE)),
                        Map.of(),
                        CallerLimits.DEFAULT,
                        OrganisationTable.of(List.of()))),
            // Streams go on at engines of the same version only.
            entry ->
                FleetFixtures.readEngine(entry).map(e -> e.withVersion(Option.some("version"))),
            engines.senderOf(idOf(i)),
            headers -> List.of(),
            headers -> RequestSize.UNKNOWN),
        new Clocks(clock, InstantSource.system()),
        new MetricRegistry());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Sends requests to some hosts in turn, one in each interval, and awaits their outcomes. */
  final List<Outcome> serveAll(List<Integer> atHosts, int count, Duration interval)
      throws Exception {
    List<CompletableFuture<Outcome>> outcomes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      outcomes.add(serve(atHosts.get(i % atHosts.size())));
      Thread.sleep(interval.toMillis());
    }
    List<Outcome> ended = new ArrayList<>();
    for (CompletableFuture<Outcome> outcome : outcomes) {
      ended.add(outcome.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    }
    return ended;
  }

  /** Sends one stream; the outcome is done if the caller gets all events, each once. */
  final CompletableFuture<Outcome> serve(int host) {
    return serve(host, STREAMS, Option.none());
  }

  /** Sends one request; its id starts with the name of the route. */
  final CompletableFuture<Outcome> serve(int host, Route route, Option<Duration> timeLimit) {
    RequestId id = RequestId.of(route.name() + "-" + ++lastRequest);
    askedHosts.put(id.value(), idOf(host));
    String target = route.pathPrefix() + "x";
    CompletableFuture<Outcome> ended = new CompletableFuture<>();
    OnlineRequest request =
        new OnlineRequest(
            id,
            "h",
            "POST",
            target,
            List.of(),
            new byte[0],
            Option.none(),
            List.of(),
            Option.none(),
            Option.none(),
            clock.instant(),
            timeLimit.map(limit -> Deadline.at(clock.instant().plus(limit))),
            RequestSize.UNKNOWN);
    hosts
        .get(host)
        .onlineService()
        .serve(
            request,
            hosts.get(host).gate().admit("h", target, Option.none(), Option.none()),
            new CollectingSink(id, ended));
    return ended;
  }

  private final class CollectingSink implements AnswerSink {
    private final RequestId id;
    private final StringBuilder text = new StringBuilder();
    private final CompletableFuture<Outcome> ended;

    CollectingSink(RequestId id, CompletableFuture<Outcome> ended) {
      this.id = id;
      this.ended = ended;
    }

    @Override
    public void onHead(EngineAnswer head) {}

    @Override
    public void onBytes(byte[] bytes) {
      text.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void onEnd(Outcome outcome) {
      StringBuilder whole = new StringBuilder();
      for (int i = 1; i <= CutOffEngines.EVENTS; i++) {
        whole.append("id: ").append(i).append("\ndata: w\n\n");
      }
      boolean isWhole = text.toString().equals(whole.toString());
      if (!whole.toString().startsWith(text.toString())) {
        brokenAnswers.add(id + ": " + text);
      }
      ended.complete(
          outcome instanceof Outcome.Done && !isWhole
              ? new Outcome.Unknown("events " + text)
              : outcome);
    }
  }

  private static final class NoEvacuations implements Evacuations.EvacuationFormat {
    @Override
    public Option<HostId> host(Entry order) {
      return Option.none();
    }

    @Override
    public String answerKey(HostId host) {
      return "a/" + host;
    }

    @Override
    public byte[] completedAnswer() {
      return new byte[0];
    }
  }

  /** Returns how many of the outcomes are whole answers. */
  static long countServed(List<Outcome> outcomes) {
    return outcomes.stream().filter(Outcome.Done.class::isInstance).count();
  }

  final void cut(CutOffEngines.Cut cut, int... cutHosts) {
    for (int host : cutHosts) {
      engines.cuts.put(idOf(host), cut);
    }
  }

  /** Returns how many requests another host than the asked one has sent to an engine last. */
  final long countRelayed() {
    return engines.senderOfRun.entrySet().stream()
        .filter(e -> !e.getValue().equals(askedHosts.get(e.getKey())))
        .count();
  }

  final Map<String, Integer> runs() {
    return engines.runs;
  }
}
