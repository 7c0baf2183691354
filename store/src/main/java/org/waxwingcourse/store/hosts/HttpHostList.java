package org.waxwingcourse.store.hosts;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.http.RatpackHttpClient;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.StoreFailure;

/** Reads the host list from {@code GET /hosts} of the platform. */
public final class HttpHostList implements HostList {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final RatpackHttpClient http;
  private final InstantSource clock;
  private final URI address;

  private HttpHostList(RatpackHttpClient http, InstantSource clock, URI address) {
    this.http = http;
    this.clock = clock;
    this.address = address;
  }

  /** Returns a host list that reads from the platform at a base address. */
  public static HttpHostList of(RatpackHttpClient http, InstantSource clock, URI address) {
    return new HttpHostList(http, clock, address);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, List<ListedHost>>> hosts() {
    Deadline deadline = Deadline.after(clock, CALL_TIMEOUT);
    return http.call(HttpRequest.get(address.resolve("/hosts"), deadline))
        .thenApply(
            answer ->
                answer
                    .mapLeft(
                        failure ->
                            new StoreFailure(StoreFailure.Kind.UNREACHABLE, failure.message()))
                    .flatMap(HttpHostList::parse));
  }

  private static Either<StoreFailure, List<ListedHost>> parse(BufferedHttpResponse response) {
    if (!response.isSuccess()) {
      String message = "the host list answered status " + response.status();
      return Either.left(new StoreFailure(StoreFailure.Kind.UNREACHABLE, message));
    }
    return ListedHostCodec.readAll(response.body())
        .mapLeft(message -> new StoreFailure(StoreFailure.Kind.MALFORMED, message));
  }
}
