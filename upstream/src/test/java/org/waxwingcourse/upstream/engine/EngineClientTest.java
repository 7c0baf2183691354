package org.waxwingcourse.upstream.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

class EngineClientTest {
  private static final InstantSource CLOCK = InstantSource.system();
  private static final EngineLimits LIMITS =
      new EngineLimits(Duration.ofSeconds(30), Duration.ofMillis(200), Duration.ofSeconds(10));
  private static final ModelName MODEL = ModelName.of("m");

  private final HttpCaller http = HttpCaller.of(CLOCK, 2);
  private final EngineClient client = EngineClient.of(http, CLOCK, LIMITS);
  private final CountDownLatch release = new CountDownLatch(1);
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    http.start();
    client.start();
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(Executors.newCachedThreadPool());
    server.start();
  }

  @AfterEach
  void stop() {
    release.countDown();
    server.stop(0);
    client.stop();
    http.stop();
  }

  @ParameterizedTest
  @CsvSource({
    "200, 'data: a|data: b|data: [DONE]|', Done",
    "200, 'data: a|data: b|', Unknown",
    "400, 'bad', Done",
    "404, 'no such model', Refused",
    "429, 'full', Refused",
    "503, 'full', Refused",
    "500, 'oops', Failed",
  })
  void outcomeMatchesResponse(int status, String body, String expected) {
    serveResponse(status, body.replace("|", "\n\n"), false);
    assertThat(callEngine(address()).outcome().getClass().getSimpleName()).isEqualTo(expected);
  }

  @Test
  void stalledStreamIsAbandonedWithCompleteEventsOnly() {
    serveResponse(200, "data: a\n\ndata: half", true);
    Result result = callEngine(address());
    assertThat(result.outcome())
        .isEqualTo(new Outcome.Unknown("engine \"e1\" sent no data within the time limit"));
    assertThat(result.text()).isEqualTo("data: a\n\n");
  }

  @Test
  void responseToAnotherRequestIsNeverPassedOn() {
    serveResponse(
        200,
        "data: {\"id\":\"chat-r1\"}\n\ndata: {\"id\":\"chat-r12\"}\n\ndata: [DONE]\n\n",
        false);
    Result result = callEngine(address());
    assertThat(result.outcome()).isInstanceOf(Outcome.Unknown.class);
    assertThat(result.text()).doesNotContain("r12");
  }

  @Test
  void firstResponseToAnotherRequestIsNeverPassedOn() {
    String other = RequestId.random().value();
    serveResponse(200, "data: {\"id\":\"chat-" + other + "\"}\n\ndata: [DONE]\n\n", false);
    Result result = callEngine(address());
    assertThat(result.outcome()).isInstanceOf(Outcome.Unknown.class);
    assertThat(result.text()).doesNotContain(other);
  }

  @Test
  void requestToClosedPortIsRefused() {
    URI closed = address();
    server.stop(0);
    assertThat(callEngine(closed).outcome()).isInstanceOf(Outcome.Refused.class);
  }

  private void serveResponse(int status, String body, boolean keepOpen) {
    server.createContext(
        "/v1/chat/completions",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          exchange.getResponseHeaders().add("Content-Type", "text/event-stream");
          exchange.sendResponseHeaders(status, 0);
          try (OutputStream out = exchange.getResponseBody()) {
            out.write(body.getBytes(StandardCharsets.UTF_8));
            out.flush();
            if (keepOpen) {
              awaitRelease();
            }
          }
        });
  }

  private void awaitRelease() {
    try {
      release.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private URI address() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private Result callEngine(URI address) {
    Engine engine =
        new Engine(
            UpstreamId.of("e1"), address, DataCentreId.of("d1"), Set.of(MODEL), 4, true, false);
    InferenceRequest request =
        new InferenceRequest(
            RequestId.of("r1"),
            OrganisationId.of("o1"),
            MODEL,
            WorkClass.ONLINE,
            "{\"stream\":true}",
            true,
            "",
            Deadline.after(CLOCK, Duration.ofSeconds(60)));
    StringBuilder text = new StringBuilder();
    CompletableFuture<Outcome> end = new CompletableFuture<>();
    EngineCall call =
        client.open(
            engine,
            request,
            new AnswerListener() {
              @Override
              public void onStart(int status, String contentType) {}

              @Override
              public void onChunk(byte[] bytes) {
                text.append(new String(bytes, StandardCharsets.UTF_8));
              }

              @Override
              public void onEnd(Outcome outcome) {
                end.complete(outcome);
              }
            });
    call.begin();
    return new Result(end.orTimeout(60, TimeUnit.SECONDS).join(), text.toString());
  }

  private record Result(Outcome outcome, String text) {}
}
