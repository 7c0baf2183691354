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

/** Reads and writes the objects of the published batch API. */
final class BatchJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ID = "id";
  private static final String OBJECT = "object";
  private static final String CREATED = "created_at";

  private BatchJson() {}

  /**
   * A job as it is shown.
   *
   * @param job the manifest
   * @param counts items with results at this time
   */
  record JobView(Job job, Job.Counts counts) {}

  /**
   * Part of a list of jobs.
   *
   * @param jobs the jobs, newest first
   * @param more whether there are older ones
   */
  record Page(List<JobView> jobs, boolean more) {}

  /** Returns what a request for a job asks for, or what is wrong with it. */
  static Either<String, Job.JobSpec> readSpec(String body) {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return Either.left("the body is not JSON: " + e.getOriginalMessage());
    }
    for (String name : List.of("input_file_id", "endpoint", "completion_window")) {
      if (!node.path(name).isTextual() || node.path(name).textValue().isBlank()) {
        return Either.left("\"" + name + "\" must be a text that is not empty");
      }
    }
    Map<String, String> metadata = new HashMap<>();
    node.path("metadata").properties().forEach(e -> metadata.put(e.getKey(), text(e)));
    return Either.right(
        new Job.JobSpec(
            FileId.of(node.path("input_file_id").textValue()),
            node.path("endpoint").textValue(),
            node.path("completion_window").textValue(),
            metadata));
  }

  private static String text(Map.Entry<String, JsonNode> field) {
    return field.getValue().asText();
  }

  static String file(BatchFile file) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put(ID, file.id().value()).put(OBJECT, "file").put("bytes", file.bytes());
    root.put(CREATED, file.created().getEpochSecond());
    root.put("expires_at", file.expires().at().getEpochSecond());
    root.put("filename", file.name()).put("purpose", "batch").put("status", "processed");
    return root.toString();
  }

  /** Describes an output or error file; its length is known only by reading it. */
  static String resultFile(String id, Job job) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put(ID, id).put(OBJECT, "file").put("bytes", 0);
    root.put(CREATED, job.changed().getEpochSecond());
    root.put("expires_at", job.expires().at().getEpochSecond());
    root.put("filename", id + ".jsonl").put("purpose", "batch_output").put("status", "processed");
    return root.toString();
  }

  static String job(JobView view) {
    return node(view).toString();
  }

  static String list(Page page) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put(OBJECT, "list");
    ArrayNode data = root.putArray("data");
    page.jobs().forEach(view -> data.add(node(view)));
    if (!page.jobs().isEmpty()) {
      root.put("first_id", page.jobs().get(0).job().id().value());
      root.put("last_id", page.jobs().get(page.jobs().size() - 1).job().id().value());
    }
    root.put("has_more", page.more());
    return root.toString();
  }

  private static ObjectNode node(JobView view) {
    Job job = view.job();
    ObjectNode root = MAPPER.createObjectNode();
    root.put(ID, job.id().value()).put(OBJECT, "batch");
    root.put("endpoint", job.spec().endpoint()).putNull("errors");
    root.put("input_file_id", job.spec().file().value());
    root.put("completion_window", job.spec().window());
    root.put("status", job.state().wireName());
    resultFiles(root, view);
    times(root, job);
    ObjectNode counts = root.putObject("request_counts");
    counts.put("total", job.input().items());
    counts.put("completed", view.counts().succeeded());
    counts.put("failed", view.counts().failed());
    ObjectNode metadata = root.putObject("metadata");
    job.spec().metadata().forEach(metadata::put);
    return root;
  }

  private static void resultFiles(ObjectNode root, JobView view) {
    if (view.counts().succeeded() > 0) {
      root.put("output_file_id", ResultFile.output(view.job().id()));
    }
    if (view.counts().failed() > 0) {
      root.put("error_file_id", ResultFile.errors(view.job().id()));
    }
  }

  private static void times(ObjectNode root, Job job) {
    root.put(CREATED, job.created().getEpochSecond());
    root.put("in_progress_at", job.created().getEpochSecond());
    root.put("expires_at", job.due().at().getEpochSecond());
    Instant changed = job.changed();
    if (job.state() != JobState.IN_PROGRESS) {
      root.put(job.state().wireName() + "_at", changed.getEpochSecond());
    }
  }
}
