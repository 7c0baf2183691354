package org.waxwingcourse.http;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.ConnectException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingcourse.model.service.Service;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.Headers;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * Sends HTTP requests through Ratpack's client from any thread. Calls end by their deadline; a
 * failure says whether any byte can have left.
 *
 * <p>Two clients share the threads: one pools connections, the other opens one for each request.
 * After a pooled connection has left a call without an answer, requests to that receiver take new
 * connections for a while, because an open connection can go silent for good while new ones work.
 */
public final class HttpCaller implements Service {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);
  private static final int POOL_SIZE = 256;
  private static final int MAX_ANSWER_BYTES = 64 << 20;

  private final InstantSource clock;
  private final int threads;
  private final SuspectPools suspects;
  private ExecController controller;
  private HttpClient pooled;
  private HttpClient fresh;

  private HttpCaller(InstantSource clock, int threads) {
    this.clock = clock;
    this.threads = threads;
    this.suspects = new SuspectPools(clock, IDLE_TIMEOUT);
  }

  /** Returns a caller with that many event loop threads. */
  public static HttpCaller of(InstantSource clock, int threads) {
    return new HttpCaller(clock, threads);
  }

  @Override
  public void start() {
    controller = new DefaultExecController(threads);
    pooled = build(POOL_SIZE);
    fresh = build(0);
  }

  @Override
  public void stop() {
    if (controller == null) {
      return;
    }
    pooled.close();
    fresh.close();
    controller.close();
    controller = null;
  }

  /** Sends a request and collects the whole answer. The future never completes exceptionally. */
  public CompletableFuture<Either<CallFailure, HttpAnswer>> call(HttpRequest request) {
    CompletableFuture<Either<CallFailure, HttpAnswer>> result = new CompletableFuture<>();
    Duration left = request.deadline().remaining(clock.instant());
    if (left.isZero()) {
      result.complete(Either.left(pastDeadline(request)));
      return result;
    }
    boolean pool = isPooled(request);
    Consumer<CallFailure> fail =
        failure -> {
          noteIf(pool, request, failure);
          result.complete(Either.left(failure));
        };
    controller
        .fork()
        .onError(e -> fail.accept(failureOf(e)))
        .start(
            execution -> {
              Future<?> timer =
                  execution
                      .getEventLoop()
                      .schedule(
                          () -> fail.accept(timedOut(request)),
                          left.toMillis(),
                          TimeUnit.MILLISECONDS);
              result.whenComplete((answered, error) -> timer.cancel(false));
              Promise<ReceivedResponse> answer =
                  client(pool).request(request.uri(), specOf(request, left));
              answer
                  .onError(e -> fail.accept(failureOf(e)))
                  .then(r -> result.complete(Either.right(answerOf(r))));
            });
    return result;
  }

  /** Sends a request and hands the answer on as it comes. */
  public StreamCall stream(HttpRequest request, StreamListener listener) {
    Duration left = request.deadline().remaining(clock.instant());
    boolean pool = isPooled(request);
    StreamState state = new StreamState(listener, failure -> noteIf(pool, request, failure));
    if (left.isZero()) {
      state.end(Option.some(pastDeadline(request)));
      return state;
    }
    controller
        .fork()
        .onError(e -> state.end(Option.some(failureOf(e))))
        .start(
            execution -> {
              if (!state.bind(execution.getEventLoop())) {
                return;
              }
              state.endAfter(left, timedOut(request));
              client(pool)
                  .requestStream(request.uri(), specOf(request, left))
                  .onError(e -> state.end(Option.some(failureOf(e))))
                  .then(state::accept);
            });
    return state;
  }

  static CallFailure failureOf(Throwable error) {
    String message = error.getMessage() == null ? error.toString() : error.getMessage();
    return new CallFailure(kindOf(error), message);
  }

  private static CallFailure.Kind kindOf(Throwable error) {
    if (error instanceof ConnectException || error instanceof ConnectTimeoutException) {
      return CallFailure.Kind.NOT_SENT;
    }
    return error instanceof HttpClientReadTimeoutException
        ? CallFailure.Kind.TIMED_OUT
        : CallFailure.Kind.LOST;
  }

  /** Returns all headers, those of one name in their order. */
  public static List<Header> headersOf(Headers headers) {
    List<Header> list = new ArrayList<>();
    for (String name : headers.getNames()) {
      headers.getAll(name).forEach(value -> list.add(Header.of(name, value)));
    }
    return list;
  }

  private HttpClient build(int poolSize) {
    try {
      return HttpClient.of(
          spec ->
              spec.execController(controller)
                  .byteBufAllocator(ByteBufAllocator.DEFAULT)
                  .poolSize(poolSize)
                  .idleTimeout(IDLE_TIMEOUT)
                  .connectTimeout(CONNECT_TIMEOUT)
                  .maxContentLength(MAX_ANSWER_BYTES));
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client could not be built", e);
    }
  }

  /** Notes a failure before anyone hears of it, so that the next request minds it. */
  private void noteIf(boolean pool, HttpRequest request, CallFailure failure) {
    if (pool) {
      suspects.note(request.uri(), failure);
    }
  }

  private boolean isPooled(HttpRequest request) {
    return request.reuse() && !suspects.isSuspect(request.uri());
  }

  private HttpClient client(boolean pool) {
    return pool ? pooled : fresh;
  }

  private static Action<RequestSpec> specOf(HttpRequest request, Duration left) {
    return spec -> {
      spec.method(request.method());
      spec.redirects(0);
      spec.readTimeout(left);
      for (Header header : request.headers()) {
        spec.getHeaders().add(header.name(), header.value());
      }
      if (request.body().length > 0) {
        spec.getBody().bytes(request.body());
      }
    };
  }

  private static HttpAnswer answerOf(ReceivedResponse response) {
    return new HttpAnswer(
        response.getStatusCode(), headersOf(response.getHeaders()), response.getBody().getBytes());
  }

  private static CallFailure pastDeadline(HttpRequest request) {
    return new CallFailure(
        CallFailure.Kind.NOT_SENT, "deadline of " + request.uri() + " passed before sending");
  }

  private static CallFailure timedOut(HttpRequest request) {
    return new CallFailure(
        CallFailure.Kind.TIMED_OUT, request.uri() + " did not answer by the deadline");
  }
}
