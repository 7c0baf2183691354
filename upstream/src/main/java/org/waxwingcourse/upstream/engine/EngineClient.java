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
 * Calls model engines. A request is sent with its id and its body and no other data of its caller.
 * Outcomes: a request that was not sent, or to which the engine responded with 429 or 503, is
 * refused; if the response is lost after bytes were sent, the outcome is unknown; any other 5xx is
 * a failure.
 */
public final class EngineClient implements Service {
  private static final String REQUEST_ID_HEADER = "X-Request-Id";

  private final HttpCaller http;
  private final InstantSource clock;
  private final EngineLimits limits;
  private final ConcurrentMap<UpstreamId, AtomicBoolean> echoesIds = new ConcurrentHashMap<>();
  private ScheduledExecutorService timer;

  private EngineClient(HttpCaller http, InstantSource clock, EngineLimits limits) {
    this.http = http;
    this.clock = clock;
    this.limits = limits;
  }

  /** Returns a client that sends through {@code http}, whose owner starts and stops it. */
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

  /** Prepares a request to an engine. */
  public EngineCall open(Engine engine, InferenceRequest request, AnswerListener listener) {
    return prepare(engine, "/v1/chat/completions", request.body(), request, listener);
  }

  /**
   * Prepares to resume a streamed response that was interrupted.
   *
   * @param fromToken the number of tokens that the caller has already received
   */
  public EngineCall openAgain(
      Engine engine, InferenceRequest request, int fromToken, AnswerListener listener) {
    String body = "{\"from_token\":" + fromToken + "}";
    return prepare(engine, "/engine/resume/" + request.id(), body, request, listener);
  }

  /** Cancels a request on the engine, so that it frees the slot. Does not wait for the response. */
  public void cancel(Engine engine, RequestId request) {
    controlCall(engine, "POST", "/engine/cancel/" + request, "", true);
  }

  /** Reads the engine's load report, which may be out of date. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> load(Engine engine) {
    return controlCall(engine, "GET", "/engine/load", "", true);
  }

  /** Returns whether the engine responds on a new connection. */
  public CompletableFuture<Boolean> probe(Engine engine) {
    return controlCall(engine, "GET", "/engine/load", "", false)
        .thenApply(answer -> answer.exists(HttpAnswer::isSuccess));
  }

  /** Reads the cache events after number {@code after}; events arrive late and with gaps. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> cacheEvents(Engine engine, long after) {
    return controlCall(engine, "GET", "/engine/cache-events?after=" + after, "", true);
  }

  /** Reads the list of models that the engine serves. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> models(Engine engine) {
    return controlCall(engine, "GET", "/v1/models", "", true);
  }

  /** Sends an order as JSON that contains its fencing token. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> order(Engine engine, String json) {
    return controlCall(engine, "POST", "/engine/orders", json, false);
  }

  private EngineCall prepare(
      Engine engine, String path, String body, InferenceRequest request, AnswerListener listener) {
    HttpRequest post =
        HttpRequest.postJson(uri(engine, path), body, request.deadline())
            .with(Header.of(REQUEST_ID_HEADER, request.id().value()));
    AtomicBoolean echoes = echoesIds.computeIfAbsent(engine.id(), e -> new AtomicBoolean());
    ResponseIdCheck idCheck = new ResponseIdCheck(request.id(), echoes);
    return new HttpEngineCall(
        engine,
        request,
        listener,
        limits,
        clock,
        timer,
        idCheck,
        stream -> http.stream(post, stream));
  }

  private CompletableFuture<Either<CallFailure, HttpAnswer>> controlCall(
      Engine engine, String method, String path, String json, boolean reuseConnection) {
    Deadline deadline = Deadline.after(clock, limits.control());
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    List<Header> headers =
        body.length == 0 ? List.of() : List.of(Header.of("Content-Type", "application/json"));
    return http.call(
        new HttpRequest(method, uri(engine, path), headers, body, deadline, reuseConnection));
  }

  private static URI uri(Engine engine, String path) {
    return URI.create(engine.address().toString().replaceAll("/+$", "") + path);
  }
}
