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
 * The hosts that one organisation is told to use by {@code GET /v1/hosts}. An answer is used until
 * it lapses; then any known host is asked anew, and requests wait for its answer.
 */
final class HostDirectory {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FALLBACK = Duration.ofSeconds(1);

  private final HttpCaller http;
  private final InstantSource clock;
  private final List<URI> first;
  private final Header authorization;
  private final ObjectMapper mapper = new ObjectMapper();
  private Answer answer;
  private CompletableFuture<Answer> refresh;

  HostDirectory(HttpCaller http, InstantSource clock, List<URI> first, Header authorization) {
    this.http = http;
    this.clock = clock;
    this.first = first;
    this.authorization = authorization;
    this.answer = new Answer(first, Deadline.at(Instant.MIN));
  }

  private record Answer(List<URI> hosts, Deadline validUntil) {}

  /** Returns the hosts to use now. */
  synchronized CompletableFuture<List<URI>> hosts() {
    if (!answer.validUntil().isPast(clock.instant())) {
      return CompletableFuture.completedFuture(answer.hosts());
    }
    if (refresh == null) {
      CompletableFuture<Answer> asked = ask(candidates(), 0);
      refresh = asked;
      asked.thenAccept(this::take);
    }
    return refresh.thenApply(Answer::hosts);
  }

  private synchronized void take(Answer newAnswer) {
    answer = newAnswer;
    refresh = null;
  }

  private List<URI> candidates() {
    List<URI> all = new ArrayList<>(answer.hosts());
    first.stream().filter(host -> !all.contains(host)).forEach(all::add);
    return all;
  }

  private CompletableFuture<Answer> ask(List<URI> candidates, int index) {
    if (index == candidates.size()) {
      Answer fallback = new Answer(first, Deadline.after(clock, FALLBACK));
      return CompletableFuture.completedFuture(fallback);
    }
    URI address = candidates.get(index).resolve("/v1/hosts");
    HttpRequest request =
        HttpRequest.get(address, Deadline.after(clock, CALL_TIMEOUT)).with(authorization);
    return http.call(request)
        .thenCompose(
            result -> {
              Either<String, Answer> read =
                  result.mapLeft(CallFailure::message).flatMap(this::read);
              return read.isRight()
                  ? CompletableFuture.completedFuture(read.get())
                  : ask(candidates, index + 1);
            });
  }

  private Either<String, Answer> read(HttpAnswer http) {
    return Try.of(() -> answerOf(mapper.readTree(http.body())))
        .toEither()
        .mapLeft(Throwable::getMessage)
        .filterOrElse(a -> http.isSuccess() && !a.hosts().isEmpty(), a -> "no host is named");
  }

  private static Answer answerOf(JsonNode json) {
    List<URI> hosts = new ArrayList<>();
    json.path("hosts").forEach(host -> hosts.add(URI.create(host.path("address").asText())));
    Instant until = Instant.parse(json.path("valid_until").asText());
    return new Answer(List.copyOf(hosts), Deadline.at(until));
  }
}
