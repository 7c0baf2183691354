package org.waxwingcourse.upstream.service;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.policy.retry.RetryPolicy;

/**
 * Calls plain services. A call that may not be repeated goes on a connection of its own and is
 * given up as unknown once bytes may have left; only a failure to connect moves it to the next
 * instance. A repeatable call is retried on the next instance inside the retry budget.
 *
 * <p>Only listed headers go on, so no caller's key can.
 */
public final class ServiceClient {
  private static final Set<String> PASSED =
      Set.of(
          "accept",
          "accept-language",
          "content-type",
          "content-language",
          "idempotency-key",
          "if-match",
          "if-none-match",
          "if-modified-since",
          "traceparent",
          "x-request-id");

  private static final Duration COME_BACK = Duration.ofSeconds(1);
  private static final int MAX_RETRIES = 3;

  private final HttpCaller http;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RetryPolicy retries;

  private ServiceClient(
      HttpCaller http, InstantSource clock, RandomGenerator random, RetryPolicy retries) {
    this.http = http;
    this.clock = clock;
    this.random = random;
    this.retries = retries;
  }

  /** Returns a client that sends through {@code http}, which its owner starts and stops. */
  public static ServiceClient of(
      HttpCaller http, InstantSource clock, RandomGenerator random, RetryPolicy retries) {
    return new ServiceClient(http, clock, random, retries);
  }

  /**
   * Passes a call through. The result is the service's own answer, whatever its status, or what is
   * known of a call without one: refused, or unknown.
   */
  public CompletableFuture<Either<Outcome, HttpAnswer>> call(ServiceCall call) {
    List<URI> addresses = call.service().addresses();
    if (addresses.isEmpty()) {
      return CompletableFuture.completedFuture(
          Either.left(refused("service \"" + call.service().name() + "\" has no address")));
    }
    retries.onRequest();
    return attempt(call, random.nextInt(addresses.size()), 0);
  }

  private CompletableFuture<Either<Outcome, HttpAnswer>> attempt(
      ServiceCall call, int instance, int retry) {
    List<URI> addresses = call.service().addresses();
    URI address = addresses.get(instance % addresses.size());
    return http.call(requestOf(call, address))
        .thenCompose(
            answer ->
                answer.fold(
                    failure -> afterFailure(call, instance, retry, failure),
                    whole -> CompletableFuture.completedFuture(Either.right(whole))));
  }

  private CompletableFuture<Either<Outcome, HttpAnswer>> afterFailure(
      ServiceCall call, int instance, int retry, CallFailure failure) {
    boolean unsent = failure.kind() == CallFailure.Kind.NOT_SENT;
    boolean mayRepeat = unsent || call.service().repeatable();
    if (mayRepeat && retry < MAX_RETRIES) {
      Instant at = retries.next(retry, call.deadline()).getOrNull();
      if (at != null) {
        return after(at).thenCompose(v -> attempt(call, instance + 1, retry + 1));
      }
    }
    String message = "service \"" + call.service().name() + "\": " + failure.message();
    Outcome outcome = unsent ? refused(message) : new Outcome.Unknown(message);
    return CompletableFuture.completedFuture(Either.left(outcome));
  }

  private CompletableFuture<Void> after(Instant at) {
    long wait = Math.max(0, Duration.between(clock.instant(), at).toMillis());
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(wait, TimeUnit.MILLISECONDS));
  }

  private static HttpRequest requestOf(ServiceCall call, URI address) {
    URI uri = URI.create(address.toString().replaceAll("/+$", "") + call.path());
    List<Header> headers = call.headers().stream().filter(ServiceClient::passes).toList();
    boolean reuse = call.service().repeatable();
    return new HttpRequest(call.method(), uri, headers, call.body(), call.deadline(), reuse);
  }

  private static boolean passes(Header header) {
    return PASSED.contains(header.name().toLowerCase(Locale.ROOT));
  }

  private Outcome refused(String message) {
    return new Outcome.Refused(
        new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(COME_BACK)));
  }
}
