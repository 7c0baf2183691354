package org.waxwingcourse.batch.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.model.id.JobId;

/** Writes the lines of output and error files in the published form. */
final class ResultLines {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int FIRST_ERROR_STATUS = 400;

  private ResultLines() {}

  /** Returns the line of an item that was answered. */
  static String answered(JobId job, int line, String customId, int status, String body) {
    ObjectNode root = root(job, line, customId);
    ObjectNode response = root.putObject("response");
    response.put("status_code", status);
    response.put("request_id", root.get("id").asText());
    response.set("body", json(body));
    root.putNull("error");
    char kind = status < FIRST_ERROR_STATUS ? Results.SUCCEEDED : Results.FAILED;
    return kind + root.toString();
  }

  /** Returns the line of an item that ended with an error. */
  static String error(JobId job, int line, String customId, String code, String message) {
    ObjectNode root = root(job, line, customId);
    root.putNull("response");
    root.putObject("error").put("code", code).put("message", message);
    return Results.FAILED + root.toString();
  }

  /** Returns the id of a result. */
  static String id(JobId job, int line) {
    return "batch_req_" + job + "_" + line;
  }

  private static ObjectNode root(JobId job, int line, String customId) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("id", id(job, line));
    root.put("custom_id", customId);
    return root;
  }

  private static JsonNode json(String body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      return node == null || node.isMissingNode() ? MAPPER.getNodeFactory().textNode("") : node;
    } catch (JsonProcessingException e) {
      return MAPPER.getNodeFactory().textNode(body);
    }
  }
}
