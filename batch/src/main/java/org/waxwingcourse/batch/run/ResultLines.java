package org.waxwingcourse.batch.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.waxwingcourse.batch.job.ResultReader;
import org.waxwingcourse.model.id.JobId;

/** Formats the lines of output and error files in the published batch format. */
final class ResultLines {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int FIRST_ERROR_STATUS = 400;

  private ResultLines() {}

  /** Returns the result line of an item that has a response. */
  static String answerLine(JobId job, int resultNumber, String customId, int status, String body) {
    ObjectNode root = newLine(job, resultNumber, customId);
    ObjectNode response = root.putObject("response");
    response.put("status_code", status);
    response.put("request_id", root.get("id").asText());
    response.set("body", parseBody(body));
    root.putNull("error");
    char kind = status < FIRST_ERROR_STATUS ? ResultReader.SUCCEEDED : ResultReader.FAILED;
    return kind + root.toString();
  }

  /** Returns the result line of an item that ended with an error. */
  static String errorLine(
      JobId job, int resultNumber, String customId, String code, String message) {
    ObjectNode root = newLine(job, resultNumber, customId);
    root.putNull("response");
    root.putObject("error").put("code", code).put("message", message);
    return ResultReader.FAILED + root.toString();
  }

  /** Returns the id of a result. */
  static String resultId(JobId job, int resultNumber) {
    return "batch_req_" + job + "_" + resultNumber;
  }

  private static ObjectNode newLine(JobId job, int resultNumber, String customId) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("id", resultId(job, resultNumber));
    root.put("custom_id", customId);
    return root;
  }

  private static JsonNode parseBody(String body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      return node == null || node.isMissingNode() ? MAPPER.getNodeFactory().textNode("") : node;
    } catch (JsonProcessingException e) {
      return MAPPER.getNodeFactory().textNode(body);
    }
  }
}
