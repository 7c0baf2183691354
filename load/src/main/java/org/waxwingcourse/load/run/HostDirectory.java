package org.waxwingcourse.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.model.time.Deadline;

/**
 * The hosts that {@code GET /v1/hosts} lists for one organisation. A list is used until it expires;
 * then the known hosts are asked in turn for a new list, and requests wait for it.
 */
final class HostDirectory {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FALLBACK_VALIDITY = Duration.ofSeconds(1);

  private final HttpCaller http;
  private final InstantSource clock;
  private final List<URI> seedHosts;
  private final Header authorization;
  private final ObjectMapper mapper = new ObjectMapper();
  private HostList current;
  private CompletableFuture<HostList> pendingRefresh;

  HostDirectory(HttpCaller http, InstantSource clock, List<URI> seedHosts, Header authorization) {
    this.http = http;
    this.clock = clock;
    this.seedHosts = seedHosts;
    this.authorization = authorization;
    this.current = new HostList(seedHosts, Deadline.at(Instant.MIN));
  }

  private record HostList(List<URI> hosts, Deadline validUntil) {}

  /** Returns the current list of hosts, refreshed first if it has expired. */
  synchronized CompletableFuture<List<URI>> currentHosts() {
    if (!current.validUntil().isPast(clock.instant())) {
      return CompletableFuture.completedFuture(current.hosts());
    }
    if (pendingRefresh == null) {
      CompletableFuture<HostList> refresh = requestHostList(candidates(), 0);
      pendingRefresh = refresh;
      refresh.thenAccept(this::completeRefresh);
    }
    return pendingRefresh.thenApply(HostList::hosts);
  }

  private synchronized void completeRefresh(HostList newList) {
    current = newList;
    pendingRefresh = null;
  }

  private List<URI> candidates() {
    List<URI> all = new ArrayList<>(current.hosts());
    seedHosts.stream().filter(host -> !all.contains(host)).forEach(all::add);
    return all;
  }

  private CompletableFuture<HostList> requestHostList(List<URI> candidates, int index) {
    if (index == candidates.size()) {
      HostList fallback = new HostList(seedHosts, Deadline.after(clock, FALLBACK_VALIDITY));
      return CompletableFuture.completedFuture(fallback);
    }
    URI address = candidates.get(index).resolve("/v1/hosts");
    HttpRequest request =
        HttpRequest.get(address, Deadline.after(clock, CALL_TIMEOUT)).with(authorization);
    return http.call(request)
        .thenCompose(
            result -> {
              Either<String, HostList> list =
                  result.mapLeft(CallFailure::message).flatMap(this::parse);
              return list.isRight()
                  ? CompletableFuture.completedFuture(list.get())
                  : requestHostList(candidates, index + 1);
            });
  }

  private Either<String, HostList> parse(HttpAnswer response) {
    return Try.of(() -> hostListOf(mapper.readTree(response.body())))
        .toEither()
        .mapLeft(Throwable::getMessage)
        .filterOrElse(
            list -> response.isSuccess() && !list.hosts().isEmpty(),
            list -> "the response lists no hosts");
  }

  private static HostList hostListOf(JsonNode json) {
    List<URI> hosts = new ArrayList<>();
    json.path("hosts").forEach(host -> hosts.add(URI.create(host.path("address").asText())));
    Instant until = Instant.parse(json.path("valid_until").asText());
    return new HostList(List.copyOf(hosts), Deadline.at(until));
  }
}
