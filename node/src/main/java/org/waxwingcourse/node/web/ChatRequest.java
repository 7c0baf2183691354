package org.waxwingcourse.node.web;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.control.Either;
import org.waxwingcourse.model.id.ModelName;

/**
 * What the node reads of a chat completion's body.
 *
 * @param model the model asked for
 * @param stream whether the answer is to be streamed
 * @param prompt the text of all messages
 * @param body the body as it came
 */
public record ChatRequest(ModelName model, boolean stream, String prompt, String body) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads a body; the error says what is wrong with it. */
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
      return Either.left("\"messages\" must be a list with at least one message");
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
