package org.waxwingcourse.load.run;

import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.load.plan.Arrival;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.plan.OrganisationLoad;
import org.waxwingcourse.model.time.Deadline;

/** The callers of one organisation: they ask which hosts to use and send requests there. */
final class Callers {
  private final LoadPlan plan;
  private final OrganisationLoad organisation;
  private final HttpCaller http;
  private final InstantSource clock;
  private final Supplier<Duration> elapsed;
  private final HostDirectory directory;
  private final Header authorization;
  private final Random random;

  Callers(
      LoadPlan plan,
      OrganisationLoad organisation,
      HttpCaller http,
      InstantSource clock,
      Supplier<Duration> elapsed) {
    this.plan = plan;
    this.organisation = organisation;
    this.http = http;
    this.clock = clock;
    this.elapsed = elapsed;
    this.authorization = Header.of("Authorization", "Bearer " + organisation.key());
    this.directory = new HostDirectory(http, clock, plan.hosts(), authorization);
    this.random = new Random(plan.seed() + organisation.name().hashCode());
  }

  /** Sends a request to one of the hosts; goes to the next while nothing can be sent. */
  CompletableFuture<Try> send(Arrival arrival) {
    String json =
        ChatBody.of(plan.model(), arrival.prompt(), organisation.outputTokens(), arrival.streamed())
            .json();
    return directory.hosts().thenCompose(hosts -> attempt(arrival, json, shuffled(hosts), 0));
  }

  /** Returns a request with the organisation's key to one of its hosts. */
  CompletableFuture<HttpRequest> request(
      String method, String path, List<Header> headers, byte[] body) {
    return directory
        .hosts()
        .thenApply(
            hosts -> {
              URI uri = shuffled(hosts).get(0).resolve(path);
              Deadline deadline = Deadline.after(clock, plan.requestTimeout());
              return new HttpRequest(method, uri, headers, body, deadline, true)
                  .with(authorization);
            });
  }

  private CompletableFuture<Try> attempt(Arrival arrival, String json, List<URI> hosts, int index) {
    ChatTry attempt = new ChatTry(arrival, plan.checkAnswers(), elapsed);
    URI uri = hosts.get(index).resolve("/v1/chat/completions");
    Deadline deadline = Deadline.after(clock, plan.requestTimeout());
    http.stream(HttpRequest.postJson(uri, json, deadline).with(authorization), attempt);
    return attempt
        .result()
        .thenCompose(
            result -> {
              boolean next = result.outcome() == TryOutcome.NOT_SENT && index + 1 < hosts.size();
              return next
                  ? attempt(arrival, json, hosts, index + 1)
                  : CompletableFuture.completedFuture(result);
            });
  }

  private synchronized List<URI> shuffled(List<URI> hosts) {
    List<URI> order = new ArrayList<>(hosts);
    Collections.shuffle(order, random);
    return order;
  }
}
