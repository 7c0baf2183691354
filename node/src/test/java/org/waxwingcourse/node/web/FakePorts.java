package org.waxwingcourse.node.web;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.waxwingcourse.http.server.HttpServer;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Authenticator;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.node.metrics.ServiceLevels;

/** Fake components behind the caller interface; the prompt selects how a request ends. */
public final class FakePorts implements ConfigurationSource, Authenticator {
  public static final String KEY = "wx-test-key";
  static final int MAX_REQUESTS = 3;
  private static final int MAX_BODY_BYTES = 2048;

  final MetricRegistry metrics = new MetricRegistry();
  final CompletableFuture<Void> cancelled = new CompletableFuture<>();
  volatile Runnable revokeKey = () -> {};

  HttpServer start() {
    return start(routes(ports()));
  }

  /** Returns ports that are backed by these fakes. */
  public CallerPorts ports() {
    return new CallerPorts(
        InstantSource.system(),
        this,
        this,
        (organisation, work, deadline) -> CompletableFuture.completedFuture(Option.none()),
        this::submit,
        (request, listener) -> () -> {},
        Duration.ofMillis(300),
        ServiceLevels.of(metrics));
  }

  /** Starts a server with the given routes. */
  public static HttpServer start(List<Routes> routes) {
    HttpServer.Options options =
        new HttpServer.Options(
            new InetSocketAddress("127.0.0.1", 0), 2, 8192, Duration.ofSeconds(60));
    HttpServer server = HttpServer.of(options, routes, new ApiErrorHandler());
    server.start();
    return server;
  }

  private static List<Routes> routes(CallerPorts ports) {
    List<Routes> routes = new ArrayList<>();
    routes.add(new LimitRoutes(ports.clock(), 8192, 100, MAX_REQUESTS));
    routes.addAll(CallerRoutes.of(ports));
    return routes;
  }

  @Override
  public Optional<FleetConfiguration> current() {
    Defaults defaults =
        new Defaults(
            Rate.of(10, 10),
            4,
            Duration.ofSeconds(30),
            Duration.ofSeconds(2),
            Duration.ofMillis(58),
            MAX_BODY_BYTES,
            3);
    Organisation organisation =
        new Organisation(OrganisationId.of("parish"), Rate.of(10, 10), Set.of(KeyHash.ofKey(KEY)));
    Engine engine =
        new Engine(
            UpstreamId.of("engine-1"),
            URI.create("http://127.0.0.1:1"),
            DataCentreId.of("nile-1"),
            Set.of(ModelName.of("organ-scribe")),
            4,
            true,
            false);
    return Optional.of(
        new FleetConfiguration(
            Revision.of(1),
            defaults,
            Map.of(organisation.id(), organisation),
            Map.of(engine.id(), engine),
            Map.of(),
            List.of()));
  }

  @Override
  public void onChange(Consumer<FleetConfiguration> listener) {}

  @Override
  public Either<Refusal, Organisation> authenticate(KeyHash key) {
    return Option.ofOptional(
            current().stream()
                .flatMap(c -> c.organisations().values().stream())
                .filter(o -> o.keys().contains(key))
                .findFirst())
        .toEither(new Refusal(RefusalCode.INVALID_KEY, "the key does not work", Instant.EPOCH));
  }

  @Override
  public Session open(KeyHash key, Runnable onWithdrawn) {
    revokeKey = onWithdrawn;
    return () -> {};
  }

  private void cancel(AnswerListener listener) {
    cancelled.complete(null);
    listener.onEnd(new Outcome.Unknown("cancelled"));
  }

  private Call submit(InferenceRequest request, AnswerListener listener) {
    String prompt = request.promptPrefix();
    if (prompt.contains("refuse")) {
      Instant retryAt = Instant.now().plusSeconds(7);
      listener.onEnd(
          new Outcome.Refused(new Refusal(RefusalCode.OVERLOADED, "the queue is full", retryAt)));
    } else if (prompt.contains("lose")) {
      listener.onEnd(new Outcome.Unknown("the answer was lost"));
    } else if (prompt.contains("break")) {
      boolean events = prompt.contains("events");
      listener.onStart(200, events ? "text/event-stream" : "application/json");
      listener.onChunk("{\"part\":".getBytes(StandardCharsets.UTF_8));
      listener.onEnd(new Outcome.Unknown("the engine was lost"));
    } else if (prompt.contains("hang")) {
      listener.onStart(200, "text/event-stream");
      listener.onChunk("data: {}\n\n".getBytes(StandardCharsets.UTF_8));
    } else {
      listener.onStart(200, "application/json");
      listener.onChunk("{\"object\":\"chat.completion\"}".getBytes(StandardCharsets.UTF_8));
      listener.onEnd(new Outcome.Done());
    }
    return () -> cancel(listener);
  }
}
