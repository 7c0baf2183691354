package org.waxwingcourse.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** An engine that is declared as leaving finishes its requests and gets no new ones. */
class LeavingEngineTest {
  private static final int REQUESTS = 30;
  private static final String CHAT =
      "{\"model\":\"organ-scribe\",\"max_tokens\":4,\"messages\":[{\"content\":\"q %d\"}]}";

  private final HttpClient client = HttpClient.newHttpClient();
  private final ObjectMapper mapper = new ObjectMapper();

  @Test
  void getsNoNewRequestsOnceDeclarationIsInForce() throws Exception {
    try (TestFleet fleet = TestFleet.start(2, 1)) {
      sendRequests(fleet);
      assertThat(fleet.engine(0).runs()).isPositive();
      assertThat(fleet.engine(1).runs()).isPositive();
      String all = fleet.declarations(100, 100, TestFleet.KEY);
      String engine = "id = \"engine-1\"\n";
      fleet.apply(all.replace(engine, engine + "leaving = true\n"));
      TestFleet.await(() -> isInForce(fleet));
      int runsBefore = fleet.engine(0).runs();
      sendRequests(fleet);
      assertThat(fleet.engine(0).runs()).isEqualTo(runsBefore);
      assertThat(fleet.engine(1).runs()).isGreaterThanOrEqualTo(REQUESTS);
    }
  }

  private void sendRequests(TestFleet fleet) throws IOException, InterruptedException {
    for (int i = 0; i < REQUESTS; i++) {
      HttpRequest request =
          HttpRequest.newBuilder(fleet.url(0).resolve("/v1/chat/completions"))
              .header("Authorization", "Bearer " + TestFleet.KEY)
              .POST(HttpRequest.BodyPublishers.ofString(CHAT.formatted(i)))
              .build();
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
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
