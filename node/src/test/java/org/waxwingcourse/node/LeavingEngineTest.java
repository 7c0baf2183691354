package org.waxwingcourse.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** An engine that is declared to leave finishes what it has and gets no new work. */
class LeavingEngineTest {
  private static final int REQUESTS = 30;
  private static final String CHAT =
      "{\"model\":\"organ-scribe\",\"max_tokens\":4,\"messages\":[{\"content\":\"q %d\"}]}";

  private final HttpClient client = HttpClient.newHttpClient();
  private final ObjectMapper mapper = new ObjectMapper();

  @Test
  void getsNoNewWorkOnceTheDeclarationIsInForce() throws Exception {
    try (TestFleet fleet = TestFleet.start(2, 1)) {
      askMany(fleet);
      assertThat(fleet.engine(0).runs()).isPositive();
      assertThat(fleet.engine(1).runs()).isPositive();
      String all = fleet.declarations(100, 100, TestFleet.KEY);
      String engine = "id = \"engine-1\"\n";
      fleet.apply(all.replace(engine, engine + "leaving = true\n"));
      TestFleet.await(() -> isInForce(fleet));
      int before = fleet.engine(0).runs();
      askMany(fleet);
      assertThat(fleet.engine(0).runs()).isEqualTo(before);
      assertThat(fleet.engine(1).runs()).isGreaterThanOrEqualTo(REQUESTS);
    }
  }

  private void askMany(TestFleet fleet) throws IOException, InterruptedException {
    for (int i = 0; i < REQUESTS; i++) {
      HttpRequest request =
          HttpRequest.newBuilder(fleet.url(0).resolve("/v1/chat/completions"))
              .header("Authorization", "Bearer " + TestFleet.KEY)
              .POST(HttpRequest.BodyPublishers.ofString(CHAT.formatted(i)))
              .build();
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
    }
  }

  private boolean isInForce(TestFleet fleet) {
    try {
      URI status = URI.create("http://127.0.0.1:" + fleet.node(0).operatorPort() + "/status");
      long inForce = mapper.readTree(get(status)).path("configuration").asLong();
      return inForce == fleet.revision().value();
    } catch (IOException | InterruptedException e) {
      return false;
    }
  }

  private String get(URI uri) throws IOException, InterruptedException {
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }
}
