package org.waxwingcourse.node.web;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.http.server.HttpServer;

/** Tests the responses to valid and invalid requests, with fake components behind the routes. */
class CallerInterfaceTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final FakePorts ports = new FakePorts();
  private final HttpClient client = HttpClient.newHttpClient();
  private HttpServer server;

  @BeforeEach
  void start() {
    server = ports.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          {"model":"organ-scribe","messages":[{"content":"x"}]} | 200 | chat.completion
          { | 400 | not JSON
          [] | 400 | must be a JSON object
          {"messages":[{"role":"user","content":"x"}]} | 400 | \\"model\\" must be
          {"model":"organ-scribe","messages":[]} | 400 | \\"messages\\" must be
          {"model":"organ-scribe","stream":5,"messages":[{}]} | 400 | \\"stream\\" must be
          {"model":"none","messages":[{"content":"x"}]} | 404 | model \\"none\\" does not exist
          {"model":"organ-scribe","messages":[{"content":"refuse"}]} | 503 | "run":"not_run"
          {"model":"organ-scribe","messages":[{"content":"lose"}]} | 504 | "run":"unknown"
          """)
  void validAndInvalidBodiesGetExpectedResponse(String body, int status, String expectedPart)
      throws Exception {
    HttpResponse<String> response = post(body, FakePorts.KEY);
    assertThat(response.body()).contains(expectedPart);
    assertThat(response.statusCode()).isEqualTo(status);
  }

  @Test
  void rejectionHasRetryAfterHeaderAndCountsAsMissedObjective() throws Exception {
    HttpResponse<String> response = post(chat("refuse", false), FakePorts.KEY);
    assertThat(response.headers().firstValue("Retry-After")).hasValue("7");
    assertThat(ports.metrics.counter("slo.admission.parish.total").getCount()).isEqualTo(1);
    assertThat(ports.metrics.counter("slo.admission.parish.good").getCount()).isZero();
  }

  @Test
  void invalidKeyIsRejectedAndNotEchoed() throws Exception {
    HttpResponse<String> response = post(chat("x", false), "wx-wrong-key");
    assertThat(response.statusCode()).isEqualTo(401);
    assertThat(response.body()).contains("invalid_key").doesNotContain("wx-wrong-key");
  }

  @Test
  void bodyAboveLimitIsRejected() throws Exception {
    HttpResponse<String> response = post(chat("x".repeat(5000), false), FakePorts.KEY);
    assertThat(response.statusCode()).isEqualTo(413);
    assertThat(response.body()).contains("the body exceeds 2048 bytes");
  }

  @Test
  void headerAboveLimitIsRejectedAndNextRequestSucceeds() throws Exception {
    HttpRequest request =
        request(chat("x", false), FakePorts.KEY).header("X-Long", "x".repeat(9000)).build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    assertThat(response.statusCode()).isEqualTo(431);
    assertThat(response.body()).contains("the header exceeds 8192 bytes");
    assertThat(post(chat("x", false), FakePorts.KEY).statusCode()).isEqualTo(200);
  }

  @Test
  void callerDisconnectDuringStreamCancelsRequest() throws Exception {
    HttpResponse<InputStream> response = stream();
    response.body().read();
    response.body().close();
    ports.cancelled.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void revokedKeyEndsOpenStream() throws Exception {
    HttpResponse<InputStream> response = stream();
    response.body().read();
    ports.revokeKey.run();
    String rest = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(rest).contains("invalid_key");
    ports.cancelled.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void incompleteResponseIsRecognizable() throws Exception {
    assertThatThrownBy(() -> post(chat("break", false), FakePorts.KEY))
        .isInstanceOf(IOException.class);
    HttpResponse<String> events = post(chat("break events", true), FakePorts.KEY);
    assertThat(events.body()).contains("outcome_unknown").doesNotContain("[DONE]");
  }

  @Test
  void slowRequestBodyGetsStatus408AndClosedConnection() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      String head =
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
              + FakePorts.KEY
              + "\r\nContent-Length: 100\r\n\r\n{";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(response).startsWith("HTTP/1.1 408").contains("body_too_slow");
    }
  }

  @Test
  void requestsAboveHostLimitAreRejected() throws Exception {
    for (int i = 0; i < FakePorts.MAX_REQUESTS; i++) {
      stream().body().read();
    }
    HttpResponse<String> response = post(chat("x", false), FakePorts.KEY);
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.body()).contains("requests in progress").contains("not_run");
  }

  private HttpResponse<InputStream> stream() throws IOException, InterruptedException {
    HttpRequest request = request(chat("hang", true), FakePorts.KEY).build();
    return client.send(request, HttpResponse.BodyHandlers.ofInputStream());
  }

  private HttpResponse<String> post(String body, String key)
      throws IOException, InterruptedException {
    return client.send(request(body, key).build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest.Builder request(String body, String key) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + server.port() + "/v1/chat/completions"))
        .header("Authorization", "Bearer " + key)
        .header("Content-Type", "application/json")
        .version(HttpClient.Version.HTTP_1_1)
        .timeout(TIMEOUT)
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  private static String chat(String text, boolean stream) {
    return """
        {"model":"organ-scribe","stream":%s,"messages":[{"role":"user","content":"%s"}]}"""
        .formatted(stream, text);
  }
}
