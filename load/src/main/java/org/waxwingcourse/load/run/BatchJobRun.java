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

/** Submits one batch job through the files and batches endpoints and polls it until it ends. */
final class BatchJobRun {
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
  private static final String BOUNDARY = "waxwing-load-boundary";
  private static final Set<String> FINAL_STATUSES =
      Set.of("completed", "failed", "expired", "cancelled");

  private final LoadPlan plan;
  private final BatchLoad batch;
  private final OrganisationClient client;
  private final HttpCaller http;
  private final ScheduledExecutorService timer;
  private final Supplier<Duration> elapsed;
  private final ObjectMapper mapper = new ObjectMapper();
  private Duration startedAt;
  private volatile BatchReport lastReport;

  BatchJobRun(
      LoadPlan plan,
      BatchLoad batch,
      OrganisationClient client,
      HttpCaller http,
      ScheduledExecutorService timer,
      Supplier<Duration> elapsed) {
    this.plan = plan;
    this.batch = batch;
    this.client = client;
    this.http = http;
    this.timer = timer;
    this.elapsed = elapsed;
    this.lastReport = new BatchReport(batch.organisation(), batch.items(), "not sent", 0, 0, 0);
  }

  private record BatchLine(
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
    call("POST", "/v1/files", headers, uploadBody())
        .thenAccept(answer -> answer.peek(this::createJob).peekLeft(this::recordFailure));
  }

  BatchReport report() {
    return lastReport;
  }

  boolean isFinished() {
    return FINAL_STATUSES.contains(lastReport.status()) || lastReport.status().startsWith("error");
  }

  private void createJob(JsonNode file) {
    Job job = new Job(file.path("id").asText(), "/v1/chat/completions", "24h");
    List<Header> headers = List.of(Header.of("Content-Type", "application/json"));
    call("POST", "/v1/batches", headers, toJson(job).getBytes(StandardCharsets.UTF_8))
        .thenAccept(answer -> answer.peek(this::onJobStatus).peekLeft(this::recordFailure));
  }

  private void onJobStatus(JsonNode job) {
    JsonNode counts = job.path("request_counts");
    updateReport(
        job.path("status").asText(),
        counts.path("completed").asLong(),
        counts.path("failed").asLong());
    if (!isFinished()) {
      String path = "/v1/batches/" + job.path("id").asText();
      timer.schedule(() -> pollStatus(path, job), POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void pollStatus(String path, JsonNode lastStatus) {
    call("GET", path, List.of(), new byte[0])
        .thenAccept(answer -> onJobStatus(answer.getOrElse(lastStatus)));
  }

  private CompletableFuture<Either<String, JsonNode>> call(
      String method, String path, List<Header> headers, byte[] body) {
    return client
        .newRequest(method, path, headers, body)
        .thenCompose(http::call)
        .thenApply(answer -> answer.mapLeft(CallFailure::message).flatMap(this::parse));
  }

  private Either<String, JsonNode> parse(HttpAnswer answer) {
    if (!answer.isSuccess()) {
      return Either.left("status " + answer.status() + " " + answer.text());
    }
    try {
      return Either.right(mapper.readTree(answer.body()));
    } catch (IOException e) {
      return Either.left(e.getMessage());
    }
  }

  private void recordFailure(String message) {
    updateReport("error: " + message, 0, 0);
  }

  private void updateReport(String status, long completed, long failed) {
    double seconds = elapsed.get().minus(startedAt).toMillis() / 1000.0;
    lastReport =
        new BatchReport(batch.organisation(), batch.items(), status, completed, failed, seconds);
  }

  private byte[] uploadBody() {
    StringBuilder body = new StringBuilder();
    appendPart(body, "purpose\"", "batch");
    appendPart(body, "file\"; filename=\"items.jsonl\"", itemLines());
    body.append("--").append(BOUNDARY).append("--\r\n");
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void appendPart(StringBuilder body, String name, String content) {
    body.append("--").append(BOUNDARY).append("\r\n");
    body.append("Content-Disposition: form-data; name=\"").append(name).append("\r\n\r\n");
    body.append(content).append("\r\n");
  }

  private String itemLines() {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < batch.items(); i++) {
      String prompt = "corridor summary " + i + " of " + batch.organisation();
      ChatBody body = ChatBody.of(plan.model(), prompt, batch.outputTokens(), false);
      lines.append(toJson(new BatchLine("item-" + i, "POST", "/v1/chat/completions", body)));
      lines.append('\n');
    }
    return lines.toString();
  }

  private String toJson(Object value) {
    try {
      return mapper.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
