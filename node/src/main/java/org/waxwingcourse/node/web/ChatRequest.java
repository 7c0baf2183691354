package org.waxwingcourse.node.web;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import org.waxwingcourse.model.id.ModelName;

/**
 * The fields of a chat completion request that the node uses.
 *
 * @param model the requested model
 * @param stream whether the response is streamed
 * @param prompt the text of all messages
 * @param body the unmodified request body
 */
public record ChatRequest(ModelName model, boolean stream, String prompt, String body) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Parses a request body; the left value says why the body is invalid. */
  public static Either<String, ChatRequest> parse(String body) {
    JsonNode root;
    try {
      root = MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      return Either.left("the body is not JSON: " + e.getOriginalMessage() + " in line " + line);
    }
    if (!root.isObject()) {
      return Either.left("the body must be a JSON object");
    }
    if (!root.path("model").isTextual() || root.path("model").textValue().isBlank()) {
      return Either.left("\"model\" must be the name of a model");
    }
    if (!(root.path("messages") instanceof ArrayNode messages) || messages.isEmpty()) {
      return Either.left("\"messages\" must be an array with at least one message");
    }
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      return Either.left("\"stream\" must be true or false");
    }
    return Either.right(
        new ChatRequest(
            ModelName.of(root.path("model").textValue()),
            stream.asBoolean(false),
            prompt(messages),
            body));
  }

  private static String prompt(ArrayNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode content = message.path("content");
      text.append(message.path("role").asText()).append(": ");
      text.append(content.isTextual() ? content.textValue() : content.toString()).append('\n');
    }
    return text.toString();
  }
}
