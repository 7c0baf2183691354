import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON helpers of the stand-ins. */
final class Json {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static JsonNode parse(byte[] bytes) {
    try {
      return MAPPER.readTree(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
