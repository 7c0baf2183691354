package org.waxwingcourse.node.member;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.node.Node;
import org.waxwingcourse.node.TestFleet;

/** Three nodes over loopback discover each other, lose one, and are replaced one by one. */
class FleetMembershipTest {
  private static final int CALLERS = 6;
  private static final int STREAM_TOKENS = 1000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<Node> running = new ArrayList<>();
  private TestFleet fleet;

  @BeforeEach
  void start() {
    fleet = TestFleet.start(2, 3);
    for (int i = 0; i < 3; i++) {
      running.add(fleet.node(i));
    }
    TestFleet.await(() -> running.stream().allMatch(n -> alive(n) == 3));
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private static long alive(Node node) {
    return node.members().members().stream().filter(m -> m.state() == MemberState.ALIVE).count();
  }

  private static boolean isDead(Node node, HostId host) {
    return node.members().find(host).map(Member::state).equals(Optional.of(MemberState.DEAD));
  }

  @Test
  void hostsGiveSameListAndOmitLostHostThatIsStillRegistered() throws Exception {
    JsonNode answer = hosts(fleet.url(0));
    assertThat(hosts(fleet.url(1)).path("hosts")).isEqualTo(answer.path("hosts"));
    assertThat(answer.path("hosts")).hasSize(3);
    assertThat(Instant.parse(answer.path("valid_until").asText())).isAfter(Instant.now());
    URI lost = fleet.url(2);
    running.remove(2).stop();
    HostId name = HostId.of("host-3");
    TestFleet.await(() -> running.stream().allMatch(n -> isDead(n, name)));
    assertThat(hosts(fleet.url(0)).toString()).doesNotContain(lost.toString());
    assertThat(hosts(fleet.url(1)).path("hosts")).hasSize(2);
  }

  @Test
  void rollingReplacementOfAllHostsInterruptsNoStream() throws Exception {
    AtomicBoolean finished = new AtomicBoolean();
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    List<Future<Integer>> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      URI first = fleet.url(i % 3);
      callers.add(threads.submit((Callable<Integer>) () -> streamRepeatedly(first, finished)));
    }
    for (int i = 0; i < 3; i++) {
      Node leaving = running.remove(0);
      leaving.leave();
      leaving.stop();
      running.add(fleet.addNode("host-" + (4 + i)));
      TestFleet.await(() -> running.stream().allMatch(n -> alive(n) == 3));
    }
    finished.set(true);
    for (Future<Integer> caller : callers) {
      assertThat(caller.get()).isGreaterThan(3);
    }
    threads.shutdown();
  }

  /** Streams one answer after another from the listed hosts; returns the number of streams. */
  private int streamRepeatedly(URI first, AtomicBoolean finished) throws Exception {
    int completeStreams = 0;
    JsonNode answer = hosts(first);
    while (!finished.get()) {
      JsonNode hosts = answer.path("hosts");
      URI host = URI.create(hosts.get(completeStreams % hosts.size()).path("address").asText());
      if (Instant.now().isAfter(Instant.parse(answer.path("valid_until").asText()))) {
        answer = refreshHosts(hosts);
        continue;
      }
      assertThat(stream(host)).as("stream from %s", host).endsWith("data: [DONE]");
      completeStreams++;
    }
    return completeStreams;
  }

  /** Requests a new list from the hosts of an expired one in turn; one of them may have stopped. */
  private JsonNode refreshHosts(JsonNode expired) throws Exception {
    for (JsonNode host : expired) {
      try {
        return hosts(URI.create(host.path("address").asText()));
      } catch (ConnectException e) {
        continue;
      }
    }
    throw new AssertionError("no host of the expired list can be reached: " + expired);
  }

  private String stream(URI host) throws Exception {
    String body =
        """
        {"model":"%s","stream":true,"max_tokens":%d,
         "messages":[{"role":"user","content":"Which rank?"}]}"""
            .formatted(TestFleet.MODEL, STREAM_TOKENS);
    HttpRequest request =
        request(host.resolve("/v1/chat/completions"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body().strip();
  }

  private JsonNode hosts(URI host) throws Exception {
    HttpRequest request = request(host.resolve("/v1/hosts")).GET().build();
    HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.headers().firstValue("Cache-Control")).get().asString().contains("max-age");
    return MAPPER.readTree(answer.body());
  }

  private static HttpRequest.Builder request(URI address) {
    return HttpRequest.newBuilder(address)
        .version(HttpClient.Version.HTTP_1_1)
        .timeout(REQUEST_TIMEOUT)
        .header("Content-Type", "application/json")
        .header("Authorization", "Bearer " + TestFleet.KEY);
  }
}
