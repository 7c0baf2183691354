package org.waxwingcourse.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * No log line, response, metric or upstream header contains a caller's key or the fleet's secret.
 */
class SecretsTest {
  private static final String WRONG_KEY = "wx-wrong-secret";
  private static final List<String> SECRETS =
      List.of(TestFleet.KEY, WRONG_KEY, "test-secret-of-the-fleet");

  private final HttpClient client = HttpClient.newHttpClient();
  private final LogRecorder recorder = new LogRecorder();
  private TestFleet fleet;

  /** Records the formatted log lines of all levels. */
  private static final class LogRecorder extends AbstractAppender {
    private final List<String> lines = new CopyOnWriteArrayList<>();

    LogRecorder() {
      super("recorder", null, null, false, Property.EMPTY_ARRAY);
    }

    @Override
    public void append(LogEvent event) {
      lines.add(event.getMessage().getFormattedMessage() + " " + event.getThrown());
    }
  }

  private Level levelBefore;

  @BeforeEach
  void start() {
    LoggerContext context = (LoggerContext) LogManager.getContext(false);
    recorder.start();
    context.getConfiguration().getRootLogger().addAppender(recorder, Level.ALL, null);
    levelBefore = context.getConfiguration().getRootLogger().getLevel();
    context.getConfiguration().getRootLogger().setLevel(Level.ALL);
    context.updateLoggers();
    fleet = TestFleet.start(1, 1);
  }

  @AfterEach
  void stop() {
    fleet.close();
    LoggerContext context = (LoggerContext) LogManager.getContext(false);
    context.getConfiguration().getRootLogger().removeAppender(recorder.getName());
    context.getConfiguration().getRootLogger().setLevel(levelBefore);
    context.updateLoggers();
  }

  @Test
  void secretsAreInNoLogResponseOrUpstreamHeader() throws Exception {
    String chat =
        "{\"model\":\"organ-scribe\",\"max_tokens\":2,\"messages\":[{\"content\":\"x\"}]}";
    String responses =
        post("/v1/chat/completions", chat, TestFleet.KEY)
            + post("/v1/chat/completions", chat, WRONG_KEY)
            + post("/v1/chat/completions", "{", TestFleet.KEY)
            + post("/services/billing/x", "x", TestFleet.KEY)
            + operator("/metrics")
            + operator("/status");
    assertThat(recorder.lines).isNotEmpty();
    for (String secret : SECRETS) {
      assertThat(responses).doesNotContain(secret);
      assertThat(recorder.lines).noneMatch(line -> line.contains(secret));
      assertThat(fleet.engine(0).hasSeenHeaderValue(secret)).isFalse();
    }
  }

  private String post(String path, String body, String key)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(fleet.url(0).resolve(path))
            .header("Authorization", "Bearer " + key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    return response.headers().map() + response.body();
  }

  private String operator(String path) throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + fleet.node(0).operatorPort() + path);
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }
}
