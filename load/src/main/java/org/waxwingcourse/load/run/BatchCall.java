package org.waxwingcourse.load.run;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.load.plan.BatchLoad;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.report.BatchReport;

/** Sends one batch job by the files and batches calls and follows it to its end. */
final class BatchCall {
  private static final Duration POLL = Duration.ofSeconds(1);
  private static final String BOUNDARY = "waxwing-load-boundary";
  private static final Set<String> FINAL = Set.of("completed", "failed", "expired", "cancelled");

  private final LoadPlan plan;
  private final BatchLoad batch;
  private final Callers callers;
  private final HttpCaller http;
  private final ScheduledExecutorService timer;
  private final Supplier<Duration> elapsed;
  private final ObjectMapper mapper = new ObjectMapper();
  private Duration startedAt;
  private volatile BatchReport last;

  BatchCall(
      LoadPlan plan,
      BatchLoad batch,
      Callers callers,
      HttpCaller http,
      ScheduledExecutorService timer,
      Supplier<Duration> elapsed) {
    this.plan = plan;
    this.batch = batch;
    this.callers = callers;
    this.http = http;
    this.timer = timer;
    this.elapsed = elapsed;
    this.last = new BatchReport(batch.organisation(), batch.items(), "not sent", 0, 0, 0);
  }

  private record Item(
      @JsonProperty("custom_id") String customId,
      @JsonProperty("method") String method,
      @JsonProperty("url") String url,
      @JsonProperty("body") ChatBody body) {}

  private record Job(
      @JsonProperty("input_file_id") String inputFileId,
      @JsonProperty("endpoint") String endpoint,
      @JsonProperty("completion_window") String completionWindow) {}

  void start() {
    startedAt = elapsed.get();
    List<Header> headers =
        List.of(Header.of("Content-Type", "multipart/form-data; boundary=" + BOUNDARY));
    call("POST", "/v1/files", headers, upload())
        .thenAccept(answer -> answer.peek(this::create).peekLeft(this::fail));
  }

  BatchReport report() {
    return last;
  }

  boolean isOver() {
    return FINAL.contains(last.status()) || last.status().startsWith("error");
  }

  private void create(JsonNode file) {
    Job job = new Job(file.path("id").asText(), "/v1/chat/completions", "24h");
    List<Header> headers = List.of(Header.of("Content-Type", "application/json"));
    call("POST", "/v1/batches", headers, text(job).getBytes(StandardCharsets.UTF_8))
        .thenAccept(answer -> answer.peek(this::follow).peekLeft(this::fail));
  }

  private void follow(JsonNode job) {
    JsonNode counts = job.path("request_counts");
    report(
        job.path("status").asText(),
        counts.path("completed").asLong(),
        counts.path("failed").asLong());
    if (!isOver()) {
      String path = "/v1/batches/" + job.path("id").asText();
      timer.schedule(() -> poll(path, job), POLL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void poll(String path, JsonNode known) {
    call("GET", path, List.of(), new byte[0]).thenAccept(answer -> follow(answer.getOrElse(known)));
  }

  private CompletableFuture<Either<String, JsonNode>> call(
      String method, String path, List<Header> headers, byte[] body) {
    return callers
        .request(method, path, headers, body)
        .thenCompose(http::call)
        .thenApply(answer -> answer.mapLeft(CallFailure::message).flatMap(this::read));
  }

  private Either<String, JsonNode> read(HttpAnswer answer) {
    if (!answer.isSuccess()) {
      return Either.left("status " + answer.status() + " " + answer.text());
    }
    try {
      return Either.right(mapper.readTree(answer.body()));
    } catch (IOException e) {
      return Either.left(e.getMessage());
    }
  }

  private void fail(String message) {
    report("error: " + message, 0, 0);
  }

  private void report(String status, long completed, long failed) {
    double seconds = elapsed.get().minus(startedAt).toMillis() / 1000.0;
    last = new BatchReport(batch.organisation(), batch.items(), status, completed, failed, seconds);
  }

  private byte[] upload() {
    StringBuilder body = new StringBuilder();
    part(body, "purpose\"", "batch");
    part(body, "file\"; filename=\"items.jsonl\"", items());
    body.append("--").append(BOUNDARY).append("--\r\n");
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void part(StringBuilder body, String name, String content) {
    body.append("--").append(BOUNDARY).append("\r\n");
    body.append("Content-Disposition: form-data; name=\"").append(name).append("\r\n\r\n");
    body.append(content).append("\r\n");
  }

  private String items() {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < batch.items(); i++) {
      String prompt = "corridor summary " + i + " of " + batch.organisation();
      ChatBody body = ChatBody.of(plan.model(), prompt, batch.outputTokens(), false);
      lines.append(text(new Item("item-" + i, "POST", "/v1/chat/completions", body)));
      lines.append('\n');
    }
    return lines.toString();
  }

  private String text(Object value) {
    try {
      return mapper.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
