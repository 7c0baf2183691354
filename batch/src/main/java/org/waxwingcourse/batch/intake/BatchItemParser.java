package org.waxwingcourse.batch.intake;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.ServiceName;

/** Parses the lines of an input file in the published batch format. */
public final class BatchItemParser {
  /** The endpoint of items that are sent to model engines. */
  public static final String CHAT_ENDPOINT = "/v1/chat/completions";

  /** The prefix of the endpoint of a plain service. The service's name follows it. */
  public static final String SERVICE_ENDPOINT_PREFIX = "/services/";

  private static final Pattern SERVICE_URL = Pattern.compile("/services/([^/?]+)(/.*)");
  private static final int PROMPT_PREFIX_CHARS = 512;
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private BatchItemParser() {}

  /** Returns the item, or an error message if the line is invalid. */
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
    return findProblem(node)
        .<Either<String, BatchItem>>map(Either::left)
        .getOrElse(() -> itemOf(node));
  }

  private static Option<String> findProblem(JsonNode node) {
    if (node.path("custom_id").asText().isEmpty()) {
      return problem("\"custom_id\" is missing");
    }
    if (!"POST".equals(node.path("method").asText())) {
      return problem("\"method\" is not \"POST\"");
    }
    String url = node.path("url").asText();
    if (SERVICE_URL.matcher(url).matches()) {
      return Option.none();
    }
    return CHAT_ENDPOINT.equals(url)
        ? findChatProblem(node.path("body"))
        : problem("\"url\" is neither \"" + CHAT_ENDPOINT + "\" nor the path of a service");
  }

  private static Option<String> findChatProblem(JsonNode body) {
    if (body.path("model").asText().isEmpty()) {
      return problem("\"body\" has no \"model\"");
    }
    if (!body.path("messages").isArray()) {
      return problem("\"body\" has no \"messages\"");
    }
    return body.path("stream").asBoolean()
        ? problem("a batch item cannot be streamed")
        : Option.none();
  }

  private static Option<String> problem(String message) {
    return Option.of(message);
  }

  private static Either<String, BatchItem> itemOf(JsonNode node) {
    String url = node.path("url").asText();
    String body = node.path("body").toString();
    Matcher service = SERVICE_URL.matcher(url);
    boolean isService = service.matches();
    String endpoint = isService ? SERVICE_ENDPOINT_PREFIX + service.group(1) : CHAT_ENDPOINT;
    BatchItem.Target target =
        isService
            ? new BatchItem.Service(ServiceName.of(service.group(1)), service.group(2))
            : modelOf(node.path("body"));
    return Either.right(new BatchItem(node.path("custom_id").asText(), endpoint, target, body));
  }

  private static BatchItem.Model modelOf(JsonNode body) {
    String prompt = body.path("messages").toString();
    String prefix = prompt.substring(0, Math.min(PROMPT_PREFIX_CHARS, prompt.length()));
    return new BatchItem.Model(ModelName.of(body.path("model").asText()), prefix);
  }
}
