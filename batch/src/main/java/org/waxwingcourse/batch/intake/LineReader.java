package org.waxwingcourse.batch.intake;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.waxwingcourse.model.id.ModelName;

/** Reads one line of an input file in the published batch form. */
public final class LineReader {
  /** The endpoint that batch items can be sent to. */
  public static final String CHAT = "/v1/chat/completions";

  private static final int PREFIX_CHARS = 512;
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private LineReader() {}

  /** Returns the item, or what is wrong with the line. */
  public static Either<String, BatchItem> read(String line) {
    JsonNode node;
    try {
      node = MAPPER.readTree(line);
    } catch (JsonProcessingException e) {
      return Either.left("not a JSON object: " + e.getOriginalMessage());
    }
    if (node == null || !node.isObject()) {
      return Either.left("not a JSON object");
    }
    return fault(node).<Either<String, BatchItem>>map(Either::left).getOrElse(() -> item(node));
  }

  private static Option<String> fault(JsonNode node) {
    if (node.path("custom_id").asText().isEmpty()) {
      return some("\"custom_id\" is missing");
    }
    if (!"POST".equals(node.path("method").asText())) {
      return some("\"method\" is not \"POST\"");
    }
    if (!CHAT.equals(node.path("url").asText())) {
      return some("\"url\" is not \"" + CHAT + "\"");
    }
    JsonNode body = node.path("body");
    if (body.path("model").asText().isEmpty()) {
      return some("\"body\" names no \"model\"");
    }
    if (!body.path("messages").isArray()) {
      return some("\"body\" has no \"messages\"");
    }
    return body.path("stream").asBoolean()
        ? some("a batch item cannot be streamed")
        : Option.none();
  }

  private static Option<String> some(String fault) {
    return Option.of(fault);
  }

  private static Either<String, BatchItem> item(JsonNode node) {
    JsonNode body = node.path("body");
    String prompt = body.path("messages").toString();
    return Either.right(
        new BatchItem(
            node.path("custom_id").asText(),
            node.path("url").asText(),
            ModelName.of(body.path("model").asText()),
            body.toString(),
            prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()))));
  }
}
