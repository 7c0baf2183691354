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

/** What a caller sees of good and bad requests, over small fakes. */
class CallerInterfaceTest {
  private static final Duration PATIENCE = Duration.ofSeconds(30);

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
  void eachBodyGetsItsAnswer(String body, int status, String part) throws Exception {
    HttpResponse<String> answer = post(body, FakePorts.KEY);
    assertThat(answer.body()).contains(part);
    assertThat(answer.statusCode()).isEqualTo(status);
  }

  @Test
  void refusalComesAtOnceAndSaysWhenToComeBack() throws Exception {
    HttpResponse<String> answer = post(chat("refuse", false), FakePorts.KEY);
    assertThat(answer.headers().firstValue("Retry-After")).hasValue("7");
    assertThat(ports.metrics.counter("slo.admission.parish.total").getCount()).isEqualTo(1);
    assertThat(ports.metrics.counter("slo.admission.parish.good").getCount()).isZero();
  }

  @Test
  void wrongKeyIsRefusedAndNotRepeatedInTheAnswer() throws Exception {
    HttpResponse<String> answer = post(chat("x", false), "wx-wrong-key");
    assertThat(answer.statusCode()).isEqualTo(401);
    assertThat(answer.body()).contains("invalid_key").doesNotContain("wx-wrong-key");
  }

  @Test
  void bodyOverTheLimitIsRefused() throws Exception {
    HttpResponse<String> answer = post(chat("x".repeat(5000), false), FakePorts.KEY);
    assertThat(answer.statusCode()).isEqualTo(413);
    assertThat(answer.body()).contains("the body exceeds 2048 bytes");
  }

  @Test
  void headerOverTheLimitIsRefusedAndHarmsNothing() throws Exception {
    HttpRequest request =
        request(chat("x", false), FakePorts.KEY).header("X-Long", "x".repeat(9000)).build();
    HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
    assertThat(answer.statusCode()).isEqualTo(431);
    assertThat(answer.body()).contains("the header exceeds 8192 bytes");
    assertThat(post(chat("x", false), FakePorts.KEY).statusCode()).isEqualTo(200);
  }

  @Test
  void callerGoneInMidStreamCancelsTheRequest() throws Exception {
    HttpResponse<InputStream> answer = stream();
    answer.body().read();
    answer.body().close();
    ports.cancelled.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void withdrawnKeyEndsAnOpenStream() throws Exception {
    HttpResponse<InputStream> answer = stream();
    answer.body().read();
    ports.withdraw.run();
    String rest = new String(answer.body().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(rest).contains("invalid_key");
    ports.cancelled.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void answerThatIsNotWholeNeverLooksWhole() throws Exception {
    assertThatThrownBy(() -> post(chat("break", false), FakePorts.KEY))
        .isInstanceOf(IOException.class);
    HttpResponse<String> events = post(chat("break events", true), FakePorts.KEY);
    assertThat(events.body()).contains("outcome_unknown").doesNotContain("[DONE]");
  }

  @Test
  void slowSenderIsToldAndItsConnectionClosed() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      String head =
          "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
              + FakePorts.KEY
              + "\r\nContent-Length: 100\r\n\r\n{";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(answer).startsWith("HTTP/1.1 408").contains("body_too_slow");
    }
  }

  @Test
  void requestsOverTheHostsLimitAreRefusedAtOnce() throws Exception {
    for (int i = 0; i < FakePorts.MAX_REQUESTS; i++) {
      stream().body().read();
    }
    HttpResponse<String> answer = post(chat("x", false), FakePorts.KEY);
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.body()).contains("requests in progress").contains("not_run");
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
        .timeout(PATIENCE)
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  private static String chat(String text, boolean stream) {
    return """
        {"model":"organ-scribe","stream":%s,"messages":[{"role":"user","content":"%s"}]}"""
        .formatted(stream, text);
  }
}
