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
 * Sends HTTP requests with Ratpack's client. Requests may be sent from any thread. Every call ends
 * at its deadline at the latest, and a failure states whether any byte of the request may have been
 * sent.
 *
 * <p>Two clients share the event loop threads: one pools connections, the other opens a connection
 * for each request. After a call on a pooled connection has got no response, requests to that
 * receiver use new connections for some time, because an established connection can stop delivering
 * data permanently while new connections work.
 */
public final class RatpackHttpClient implements Service {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);
  private static final int POOL_SIZE = 256;
  private static final int MAX_RESPONSE_BYTES = 64 << 20;

  private final InstantSource clock;
  private final int threads;
  private final boolean systemResolver;
  private final SuspectPools suspects;
  private ExecController controller;
  private HttpClient pooled;
  private HttpClient unpooled;

  private RatpackHttpClient(InstantSource clock, int threads, boolean systemResolver) {
    this.clock = clock;
    this.threads = threads;
    this.systemResolver = systemResolver;
    this.suspects = new SuspectPools(clock, IDLE_TIMEOUT);
  }

  /** Returns a client with the given number of event loop threads. */
  public static RatpackHttpClient of(InstantSource clock, int threads) {
    return new RatpackHttpClient(clock, threads, false);
  }

  /**
   * Returns a client for receivers that are named by IP address. Host names are resolved by the
   * system, which blocks an event loop; Netty's own resolver loads some 150 classes.
   */
  public static RatpackHttpClient forAddresses(InstantSource clock, int threads) {
    return new RatpackHttpClient(clock, threads, true);
  }

  @Override
  public void start() {
    RatpackClasses.initialize();
    controller = new DefaultExecController(threads);
    pooled = buildClient(POOL_SIZE);
    unpooled = buildClient(0);
  }

  @Override
  public void stop() {
    if (controller == null) {
      return;
    }
    pooled.close();
    unpooled.close();
    controller.close();
    controller = null;
  }

  /** Sends a request and buffers the whole response. The future never completes exceptionally. */
  public CompletableFuture<Either<CallFailure, BufferedHttpResponse>> call(HttpRequest request) {
    CompletableFuture<Either<CallFailure, BufferedHttpResponse>> result = new CompletableFuture<>();
    Duration timeLeft = request.deadline().remaining(clock.instant());
    if (timeLeft.isZero()) {
      result.complete(Either.left(deadlinePassed(request)));
      return result;
    }
    boolean usePool = isPooled(request);
    Consumer<CallFailure> fail =
        failure -> {
          recordIfPooled(usePool, request, failure);
          result.complete(Either.left(failure));
        };
    controller
        .fork()
        .onError(e -> fail.accept(toFailure(e)))
        .start(
            execution -> {
              Future<?> timer =
                  execution
                      .getEventLoop()
                      .schedule(
                          () -> fail.accept(timedOut(request)),
                          timeLeft.toMillis(),
                          TimeUnit.MILLISECONDS);
              result.whenComplete((answered, error) -> timer.cancel(false));
              Promise<ReceivedResponse> responsePromise =
                  clientFor(usePool).request(request.uri(), requestSpec(request, timeLeft));
              responsePromise
                  .onError(e -> fail.accept(toFailure(e)))
                  .then(r -> result.complete(Either.right(toBufferedResponse(r))));
            });
    return result;
  }

  /** Sends a request and passes the response to the listener as it arrives. */
  public StreamCall stream(HttpRequest request, StreamListener listener) {
    Duration timeLeft = request.deadline().remaining(clock.instant());
    boolean usePool = isPooled(request);
    RatpackStreamCall streamCall =
        new RatpackStreamCall(listener, failure -> recordIfPooled(usePool, request, failure));
    if (timeLeft.isZero()) {
      streamCall.finish(Option.some(deadlinePassed(request)));
      return streamCall;
    }
    controller
        .fork()
        .onError(e -> streamCall.finish(Option.some(toFailure(e))))
        .start(
            execution -> {
              if (!streamCall.bind(execution.getEventLoop())) {
                return;
              }
              streamCall.scheduleTimeout(timeLeft, timedOut(request));
              clientFor(usePool)
                  .requestStream(request.uri(), requestSpec(request, timeLeft))
                  .onError(e -> streamCall.finish(Option.some(toFailure(e))))
                  .then(streamCall::onResponse);
            });
    return streamCall;
  }

  static CallFailure toFailure(Throwable error) {
    String message = error.getMessage() == null ? error.toString() : error.getMessage();
    return new CallFailure(failureKind(error), message);
  }

  private static CallFailure.Kind failureKind(Throwable error) {
    if (error instanceof ConnectException || error instanceof ConnectTimeoutException) {
      return CallFailure.Kind.NOT_SENT;
    }
    return error instanceof HttpClientReadTimeoutException
        ? CallFailure.Kind.TIMED_OUT
        : CallFailure.Kind.LOST;
  }

  /** Returns all headers; headers of the same name keep their order. */
  public static List<Header> headersOf(Headers headers) {
    List<Header> list = new ArrayList<>();
    for (String name : headers.getNames()) {
      headers.getAll(name).forEach(value -> list.add(Header.of(name, value)));
    }
    return list;
  }

  private HttpClient buildClient(int poolSize) {
    try {
      return HttpClient.of(
          spec -> {
            spec.execController(controller)
                .byteBufAllocator(ByteBufAllocator.DEFAULT)
                .poolSize(poolSize)
                .idleTimeout(IDLE_TIMEOUT)
                .connectTimeout(CONNECT_TIMEOUT)
                .maxContentLength(MAX_RESPONSE_BYTES);
            if (systemResolver) {
              spec.useJdkAddressResolver();
            }
          });
    } catch (Exception e) {
      throw new IllegalStateException("cannot build the HTTP client", e);
    }
  }

  /**
   * Records a failure on a pooled connection before the failure is reported, so that the next
   * request to the same receiver already takes it into account.
   */
  private void recordIfPooled(boolean usePool, HttpRequest request, CallFailure failure) {
    if (usePool) {
      suspects.recordFailure(request.uri(), failure);
    }
  }

  private boolean isPooled(HttpRequest request) {
    return request.reuseConnection() && !suspects.isSuspect(request.uri());
  }

  private HttpClient clientFor(boolean usePool) {
    return usePool ? pooled : unpooled;
  }

  private static Action<RequestSpec> requestSpec(HttpRequest request, Duration timeLeft) {
    return spec -> {
      spec.method(request.method());
      spec.redirects(0);
      spec.readTimeout(timeLeft);
      for (Header header : request.headers()) {
        spec.getHeaders().add(header.name(), header.value());
      }
      if (request.body().length > 0) {
        spec.getBody().bytes(request.body());
      }
    };
  }

  private static BufferedHttpResponse toBufferedResponse(ReceivedResponse response) {
    return new BufferedHttpResponse(
        response.getStatusCode(), headersOf(response.getHeaders()), response.getBody().getBytes());
  }

  private static CallFailure deadlinePassed(HttpRequest request) {
    return new CallFailure(
        CallFailure.Kind.NOT_SENT,
        "the deadline for " + request.uri() + " passed before the request was sent");
  }

  private static CallFailure timedOut(HttpRequest request) {
    return new CallFailure(
        CallFailure.Kind.TIMED_OUT, request.uri() + " did not respond by the deadline");
  }
}
