package org.waxwingcourse.node.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.model.id.FileId;

/** Parses and writes the JSON objects of the OpenAI batch API. */
final class BatchJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ID = "id";
  private static final String OBJECT = "object";
  private static final String CREATED_AT = "created_at";

  private BatchJson() {}

  /**
   * A job with its current counts.
   *
   * @param job the manifest
   * @param counts items that have results
   */
  record JobView(Job job, Job.Counts counts) {}

  /**
   * A page of a list of jobs.
   *
   * @param jobs the jobs, newest first
   * @param hasMore whether older jobs follow
   */
  record JobPage(List<JobView> jobs, boolean hasMore) {}

  /** Parses a request to create a job; the left value says why the body is invalid. */
  static Either<String, Job.JobSpec> parseSpec(String body) {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return Either.left("the body is not JSON: " + e.getOriginalMessage());
    }
    for (String name : List.of("input_file_id", "endpoint", "completion_window")) {
      if (!node.path(name).isTextual() || node.path(name).textValue().isBlank()) {
        return Either.left("\"" + name + "\" must be a non-empty string");
      }
    }
    Map<String, String> metadata = new HashMap<>();
    node.path("metadata").properties().forEach(e -> metadata.put(e.getKey(), valueText(e)));
    return Either.right(
        new Job.JobSpec(
            FileId.of(node.path("input_file_id").textValue()),
            node.path("endpoint").textValue(),
            node.path("completion_window").textValue(),
            metadata));
  }

  private static String valueText(Map.Entry<String, JsonNode> field) {
    return field.getValue().asText();
  }

  static String writeFile(BatchFile file) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put(ID, file.id().value()).put(OBJECT, "file").put("bytes", file.bytes());
    root.put(CREATED_AT, file.created().getEpochSecond());
    root.put("expires_at", file.expires().at().getEpochSecond());
    root.put("filename", file.name()).put("purpose", "batch").put("status", "processed");
    return root.toString();
  }

  /** Writes an output or error file; its length is not known before it is read. */
  static String writeResultFile(String id, Job job) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put(ID, id).put(OBJECT, "file").put("bytes", 0);
    root.put(CREATED_AT, job.changed().getEpochSecond());
    root.put("expires_at", job.expires().at().getEpochSecond());
    root.put("filename", id + ".jsonl").put("purpose", "batch_output").put("status", "processed");
    return root.toString();
  }

  static String writeJob(JobView view) {
    return toNode(view).toString();
  }

  static String writeJobs(JobPage page) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put(OBJECT, "list");
    ArrayNode data = root.putArray("data");
    page.jobs().forEach(view -> data.add(toNode(view)));
    if (!page.jobs().isEmpty()) {
      root.put("first_id", page.jobs().get(0).job().id().value());
      root.put("last_id", page.jobs().get(page.jobs().size() - 1).job().id().value());
    }
    root.put("has_more", page.hasMore());
    return root.toString();
  }

  private static ObjectNode toNode(JobView view) {
    Job job = view.job();
    ObjectNode root = MAPPER.createObjectNode();
    root.put(ID, job.id().value()).put(OBJECT, "batch");
    root.put("endpoint", job.spec().endpoint()).putNull("errors");
    root.put("input_file_id", job.spec().file().value());
    root.put("completion_window", job.spec().window());
    root.put("status", job.state().wireName());
    putResultFiles(root, view);
    putTimes(root, job);
    ObjectNode counts = root.putObject("request_counts");
    counts.put("total", job.input().items());
    counts.put("completed", view.counts().succeeded());
    counts.put("failed", view.counts().failed());
    ObjectNode metadata = root.putObject("metadata");
    job.spec().metadata().forEach(metadata::put);
    return root;
  }

  private static void putResultFiles(ObjectNode root, JobView view) {
    if (view.counts().succeeded() > 0) {
      root.put("output_file_id", ResultFileIds.outputOf(view.job().id()));
    }
    if (view.counts().failed() > 0) {
      root.put("error_file_id", ResultFileIds.errorsOf(view.job().id()));
    }
  }

  private static void putTimes(ObjectNode root, Job job) {
    root.put(CREATED_AT, job.created().getEpochSecond());
    root.put("in_progress_at", job.created().getEpochSecond());
    root.put("expires_at", job.due().at().getEpochSecond());
    Instant changed = job.changed();
    if (job.state() != JobState.IN_PROGRESS) {
      root.put(job.state().wireName() + "_at", changed.getEpochSecond());
    }
  }
}
