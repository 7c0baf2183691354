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
 * Calls plain services. A call that is not repeatable is sent on a new connection, and its outcome
 * is unknown once bytes may have been sent; only after a failure to connect is it sent to the next
 * instance. A repeatable call is retried on the next instance within the retry budget.
 *
 * <p>Only the listed headers are forwarded, so a caller's key is never sent to a service.
 */
public final class ServiceClient {
  private static final Set<String> FORWARDED_HEADERS =
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

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final int MAX_RETRIES = 3;

  private final HttpCaller http;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RetryPolicy retryPolicy;

  private ServiceClient(
      HttpCaller http, InstantSource clock, RandomGenerator random, RetryPolicy retryPolicy) {
    this.http = http;
    this.clock = clock;
    this.random = random;
    this.retryPolicy = retryPolicy;
  }

  /** Returns a client that sends through {@code http}, whose owner starts and stops it. */
  public static ServiceClient of(
      HttpCaller http, InstantSource clock, RandomGenerator random, RetryPolicy retryPolicy) {
    return new ServiceClient(http, clock, random, retryPolicy);
  }

  /**
   * Forwards a call. The result is the service's own response, whatever its status, or the outcome
   * of a call without a response: refused or unknown.
   */
  public CompletableFuture<Either<Outcome, HttpAnswer>> call(ServiceCall call) {
    List<URI> addresses = call.service().addresses();
    if (addresses.isEmpty()) {
      return CompletableFuture.completedFuture(
          Either.left(refusedOutcome("service \"" + call.service().name() + "\" has no address")));
    }
    retryPolicy.onRequest();
    return attempt(call, random.nextInt(addresses.size()), 0);
  }

  private CompletableFuture<Either<Outcome, HttpAnswer>> attempt(
      ServiceCall call, int instance, int retry) {
    List<URI> addresses = call.service().addresses();
    URI address = addresses.get(instance % addresses.size());
    return http.call(toHttpRequest(call, address))
        .thenCompose(
            result ->
                result.fold(
                    failure -> afterFailure(call, instance, retry, failure),
                    whole -> CompletableFuture.completedFuture(Either.right(whole))));
  }

  private CompletableFuture<Either<Outcome, HttpAnswer>> afterFailure(
      ServiceCall call, int instance, int retry, CallFailure failure) {
    boolean notSent = failure.kind() == CallFailure.Kind.NOT_SENT;
    boolean mayRepeat = notSent || call.service().repeatable();
    if (mayRepeat && retry < MAX_RETRIES) {
      Instant retryAt = retryPolicy.next(retry, call.deadline()).getOrNull();
      if (retryAt != null) {
        return delayUntil(retryAt).thenCompose(v -> attempt(call, instance + 1, retry + 1));
      }
    }
    String message = "service \"" + call.service().name() + "\": " + failure.message();
    Outcome outcome = notSent ? refusedOutcome(message) : new Outcome.Unknown(message);
    return CompletableFuture.completedFuture(Either.left(outcome));
  }

  private CompletableFuture<Void> delayUntil(Instant retryAt) {
    long wait = Math.max(0, Duration.between(clock.instant(), retryAt).toMillis());
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(wait, TimeUnit.MILLISECONDS));
  }

  private static HttpRequest toHttpRequest(ServiceCall call, URI address) {
    URI uri = URI.create(address.toString().replaceAll("/+$", "") + call.path());
    List<Header> headers = call.headers().stream().filter(ServiceClient::isForwarded).toList();
    boolean reuse = call.service().repeatable();
    return new HttpRequest(call.method(), uri, headers, call.body(), call.deadline(), reuse);
  }

  private static boolean isForwarded(Header header) {
    return FORWARDED_HEADERS.contains(header.name().toLowerCase(Locale.ROOT));
  }

  private Outcome refusedOutcome(String message) {
    return new Outcome.Refused(
        new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(RETRY_DELAY)));
  }
}
