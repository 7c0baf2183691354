package org.waxwingcourse.node.dispatch;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.PeerHandler;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.standin.engine.EngineOptions;
import org.waxwingcourse.standin.engine.EngineStandIn;
import org.waxwingcourse.standin.engine.Prompt;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.upstream.engine.EngineClient;
import org.waxwingcourse.upstream.engine.EngineLimits;

/** Runs the dispatchers of several hosts in one process, with engine stand-ins. */
final class DispatchFleet implements AutoCloseable {
  static final ModelName MODEL = ModelName.of("m");
  private static final EngineLimits LIMITS =
      new EngineLimits(Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofSeconds(1));
  private static final int MAX_BODY_BYTES = 1 << 20;

  final InstantSource clock = MonotonicClock.start();
  final MemoryStore store = MemoryStore.of(clock);
  final List<EngineStandIn> engines = new ArrayList<>();
  final List<FleetDispatcher> hosts = new ArrayList<>();
  private final HttpCaller http = HttpCaller.of(clock, 3);
  private final EngineClient client = EngineClient.of(http, clock, LIMITS);
  private final Map<HostId, PeerHandler> handlers = new HashMap<>();
  private final ExecutorService network = Executors.newSingleThreadExecutor();
  private final List<Member> members = new ArrayList<>();
  private final FleetConfiguration configuration;

  DispatchFleet(int hostCount, int engineCount, int slots) {
    this(hostCount, engineCount, slots, EngineOptions.of(MODEL.value()));
  }

  /** Starts engines with the given options; all are declared to serve {@link #MODEL}. */
  DispatchFleet(int hostCount, int engineCount, int slots, EngineOptions options) {
    http.start();
    client.start();
    Map<UpstreamId, Engine> declared = new HashMap<>();
    for (int i = 0; i < engineCount; i++) {
      EngineStandIn engine = EngineStandIn.start(options);
      engines.add(engine);
      UpstreamId id = UpstreamId.of("engine-" + i);
      DataCentreId dataCentre = DataCentreId.of("d");
      declared.put(
          id, new Engine(id, engine.address(), dataCentre, Set.of(MODEL), slots, true, false));
    }
    Defaults defaults =
        new Defaults(
            Rate.of(100, 100),
            slots,
            Duration.ofSeconds(30),
            Duration.ofSeconds(10),
            Duration.ofMillis(58),
            MAX_BODY_BYTES,
            3);
    configuration =
        new FleetConfiguration(Revision.of(1), defaults, Map.of(), declared, Map.of(), List.of());
    for (int i = 0; i < hostCount; i++) {
      members.add(member(HostId.of("h" + i)));
    }
    members.forEach(this::addHost);
  }

  /** Submits a request to a host; returns the answer as it is collected. */
  Answer run(int host, InferenceRequest request) {
    Answer answer = new Answer(request);
    answer.call = hosts.get(host).submit(request, answer);
    return answer;
  }

  InferenceRequest request(String id, WorkClass workClass, boolean stream, int tokens) {
    String body =
        "{\"model\":\"m\",\"stream\":%s,\"max_tokens\":%d,".formatted(stream, tokens)
            + "\"messages\":[{\"role\":\"user\",\"content\":\"prompt of "
            + id
            + "\"}]}";
    return new InferenceRequest(
        RequestId.of(id),
        OrganisationId.of("org"),
        MODEL,
        workClass,
        body,
        stream,
        "prompt of " + id,
        Deadline.after(clock, Duration.ofSeconds(30)));
  }

  /** Runs a task after a delay on another thread. */
  void runLater(long millis, Runnable task) {
    CompletableFuture.runAsync(
        task, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
  }

  @Override
  public void close() {
    hosts.forEach(FleetDispatcher::stop);
    engines.forEach(EngineStandIn::stop);
    client.stop();
    http.stop();
    network.shutdownNow();
  }

  private static Member member(HostId id) {
    return new Member(
        id,
        DataCentreId.of("d"),
        URI.create("http://127.0.0.1:1"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        1,
        MemberState.ALIVE);
  }

  private void addHost(Member self) {
    FleetDispatcher host =
        FleetDispatcher.of(
                new FixedConfiguration(),
                new FixedMembershipView(self),
                new InOrderPeers(self.id()),
                client,
                clock,
                new Random(hosts.size()))
            .withModelReconciler(store);
    host.start();
    hosts.add(host);
  }

  /** Collects one answer and signals its first chunk and its end. */
  static final class Answer implements AnswerListener {
    final CompletableFuture<Outcome> end = new CompletableFuture<>();
    final CompletableFuture<Integer> firstChunk = new CompletableFuture<>();
    private final StringBuffer text = new StringBuffer();
    private final InferenceRequest request;
    private Call call;

    private Answer(InferenceRequest request) {
      this.request = request;
    }

    @Override
    public void onStart(int status, String contentType) {}

    @Override
    public void onChunk(byte[] bytes) {
      text.append(new String(bytes, StandardCharsets.UTF_8));
      firstChunk.complete(1);
    }

    @Override
    public void onEnd(Outcome outcome) {
      end.complete(outcome);
    }

    void cancel() {
      call.cancel();
    }

    String text() {
      return text.toString();
    }

    /** Returns whether the text is the complete answer to this request, with each token once. */
    boolean isCompleteAnswer(int tokens) {
      Prompt prompt = Prompt.of("user: prompt of " + request.id() + "\n");
      String all = text();
      int from = 0;
      for (int i = 0; i < tokens; i++) {
        from = all.indexOf(prompt.answerToken(i).strip(), from);
        if (from < 0) {
          return false;
        }
        from++;
      }
      String token = prompt.digest() + "-";
      return all.split(token, -1).length - 1 == tokens;
    }
  }

  private final class FixedConfiguration implements ConfigurationSource {
    @Override
    public Optional<FleetConfiguration> current() {
      return Optional.of(configuration);
    }

    @Override
    public void onChange(Consumer<FleetConfiguration> listener) {}
  }

  private final class FixedMembershipView implements MembershipView {
    private final Member self;

    private FixedMembershipView(Member self) {
      this.self = self;
    }

    @Override
    public Member self() {
      return self;
    }

    @Override
    public List<Member> members() {
      return List.copyOf(members);
    }

    @Override
    public Optional<Member> find(HostId host) {
      return members.stream().filter(m -> m.id().equals(host)).findFirst();
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}
  }

  private final class InOrderPeers implements Peers {
    private final HostId self;

    private InOrderPeers(HostId self) {
      this.self = self;
    }

    @Override
    public void send(HostId to, Channel channel, byte[] payload) {
      network.execute(() -> handlers.get(to).onMessage(self, payload));
    }

    @Override
    public void handle(Channel channel, PeerHandler handler) {
      handlers.put(self, handler);
    }
  }
}
