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

/** Sends the requests of one organisation to the hosts that its host directory lists. */
final class OrganisationClient {
  private final LoadPlan plan;
  private final OrganisationLoad organisation;
  private final HttpCaller http;
  private final InstantSource clock;
  private final Supplier<Duration> elapsed;
  private final HostDirectory directory;
  private final Header authorization;
  private final Random random;

  OrganisationClient(
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

  /**
   * Sends a request to a randomly selected host; tries the next host as long as the request cannot
   * be sent.
   */
  CompletableFuture<RequestAttempt> send(Arrival arrival) {
    String json =
        ChatBody.of(plan.model(), arrival.prompt(), organisation.outputTokens(), arrival.streamed())
            .json();
    return directory.currentHosts().thenCompose(hosts -> sendTo(arrival, json, shuffled(hosts), 0));
  }

  /** Returns a request to a randomly selected host, authorised with the organisation's key. */
  CompletableFuture<HttpRequest> newRequest(
      String method, String path, List<Header> headers, byte[] body) {
    return directory
        .currentHosts()
        .thenApply(
            hosts -> {
              URI uri = shuffled(hosts).get(0).resolve(path);
              Deadline deadline = Deadline.after(clock, plan.requestTimeout());
              return new HttpRequest(method, uri, headers, body, deadline, true)
                  .with(authorization);
            });
  }

  private CompletableFuture<RequestAttempt> sendTo(
      Arrival arrival, String json, List<URI> hosts, int index) {
    ChatAttempt attempt = new ChatAttempt(arrival, plan.checkAnswers(), elapsed);
    URI uri = hosts.get(index).resolve("/v1/chat/completions");
    Deadline deadline = Deadline.after(clock, plan.requestTimeout());
    http.stream(HttpRequest.postJson(uri, json, deadline).with(authorization), attempt);
    return attempt
        .result()
        .thenCompose(
            result -> {
              boolean tryNext =
                  result.outcome() == AttemptOutcome.NOT_SENT && index + 1 < hosts.size();
              return tryNext
                  ? sendTo(arrival, json, hosts, index + 1)
                  : CompletableFuture.completedFuture(result);
            });
  }

  private synchronized List<URI> shuffled(List<URI> hosts) {
    List<URI> shuffled = new ArrayList<>(hosts);
    Collections.shuffle(shuffled, random);
    return shuffled;
  }
}
