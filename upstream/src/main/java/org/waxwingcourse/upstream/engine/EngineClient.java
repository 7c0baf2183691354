package org.waxwingcourse.upstream.engine;

import io.vavr.control.Either;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.Deadline;

/**
 * Calls model engines. A request goes out with its id and its body and nothing else of its caller.
 * Outcomes: nothing sent, or the engine's own 429 or 503, is a refusal; an answer lost after bytes
 * went out is unknown; any other 5xx is a failure.
 */
public final class EngineClient implements Service {
  private static final String REQUEST_ID = "X-Request-Id";

  private final HttpCaller http;
  private final InstantSource clock;
  private final EngineLimits limits;
  private final ConcurrentMap<UpstreamId, AtomicBoolean> repeatsIds = new ConcurrentHashMap<>();
  private ScheduledExecutorService timer;

  private EngineClient(HttpCaller http, InstantSource clock, EngineLimits limits) {
    this.http = http;
    this.clock = clock;
    this.limits = limits;
  }

  /** Returns a client that sends through {@code http}, which its owner starts and stops. */
  public static EngineClient of(HttpCaller http, InstantSource clock, EngineLimits limits) {
    return new EngineClient(http, clock, limits);
  }

  @Override
  public void start() {
    timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "engine-watchdog");
              thread.setDaemon(true);
              return thread;
            });
  }

  @Override
  public void stop() {
    if (timer != null) {
      timer.shutdownNow();
    }
  }

  /** Prepares a request for an engine. */
  public EngineCall open(Engine engine, InferenceRequest request, AnswerListener listener) {
    return call(engine, "/v1/chat/completions", request.body(), request, listener);
  }

  /**
   * Prepares to take up a streamed answer that broke off.
   *
   * @param fromToken the number of tokens that the caller has already
   */
  public EngineCall openAgain(
      Engine engine, InferenceRequest request, int fromToken, AnswerListener listener) {
    String body = "{\"from_token\":" + fromToken + "}";
    return call(engine, "/engine/resume/" + request.id(), body, request, listener);
  }

  /** Ends a request on the engine, so that it frees the slot; the answer is not waited for. */
  public void cancel(Engine engine, RequestId request) {
    control(engine, "POST", "/engine/cancel/" + request, "", true);
  }

  /** Reads the engine's load report, which lags. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> load(Engine engine) {
    return control(engine, "GET", "/engine/load", "", true);
  }

  /** Tells whether the engine answers on a connection of its own. */
  public CompletableFuture<Boolean> probe(Engine engine) {
    return control(engine, "GET", "/engine/load", "", false)
        .thenApply(answer -> answer.exists(HttpAnswer::isSuccess));
  }

  /** Reads the cache events after number {@code after}; they come late and with gaps. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> cacheEvents(Engine engine, long after) {
    return control(engine, "GET", "/engine/cache-events?after=" + after, "", true);
  }

  /** Reads the list of models that the engine serves. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> models(Engine engine) {
    return control(engine, "GET", "/v1/models", "", true);
  }

  /** Sends an order as JSON with its fencing number inside. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> order(Engine engine, String json) {
    return control(engine, "POST", "/engine/orders", json, false);
  }

  private EngineCall call(
      Engine engine, String path, String body, InferenceRequest request, AnswerListener listener) {
    HttpRequest post =
        HttpRequest.postJson(at(engine, path), body, request.deadline())
            .with(Header.of(REQUEST_ID, request.id().value()));
    AtomicBoolean repeats = repeatsIds.computeIfAbsent(engine.id(), e -> new AtomicBoolean());
    AnswerId id = new AnswerId(request.id(), repeats);
    return new EngineStream(
        engine, request, listener, limits, clock, timer, id, stream -> http.stream(post, stream));
  }

  private CompletableFuture<Either<CallFailure, HttpAnswer>> control(
      Engine engine, String method, String path, String json, boolean reuse) {
    Deadline deadline = Deadline.after(clock, limits.control());
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    List<Header> headers =
        body.length == 0 ? List.of() : List.of(Header.of("Content-Type", "application/json"));
    return http.call(new HttpRequest(method, at(engine, path), headers, body, deadline, reuse));
  }

  private static URI at(Engine engine, String path) {
    return URI.create(engine.address().toString().replaceAll("/+$", "") + path);
  }
}
