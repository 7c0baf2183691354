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

/** Reads one line of an input file in the published batch form. */
public final class LineReader {
  /** The endpoint of items for model engines. */
  public static final String CHAT = "/v1/chat/completions";

  /** What the endpoint of a plain service begins with; its name follows. */
  public static final String SERVICES = "/services/";

  private static final Pattern SERVICE = Pattern.compile("/services/([^/?]+)(/.*)");
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
    String url = node.path("url").asText();
    if (SERVICE.matcher(url).matches()) {
      return Option.none();
    }
    return CHAT.equals(url)
        ? chatFault(node.path("body"))
        : some("\"url\" is neither \"" + CHAT + "\" nor of a service");
  }

  private static Option<String> chatFault(JsonNode body) {
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
    String url = node.path("url").asText();
    String body = node.path("body").toString();
    Matcher service = SERVICE.matcher(url);
    boolean isService = service.matches();
    String endpoint = isService ? SERVICES + service.group(1) : CHAT;
    BatchItem.Target target =
        isService
            ? new BatchItem.Service(ServiceName.of(service.group(1)), service.group(2))
            : model(node.path("body"));
    return Either.right(new BatchItem(node.path("custom_id").asText(), endpoint, target, body));
  }

  private static BatchItem.Model model(JsonNode body) {
    String prompt = body.path("messages").toString();
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    return new BatchItem.Model(ModelName.of(body.path("model").asText()), prefix);
  }
}
