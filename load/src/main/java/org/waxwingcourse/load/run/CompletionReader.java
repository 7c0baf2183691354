package org.waxwingcourse.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Parses one chat completion incrementally, as one JSON document or as server-sent events. */
final class CompletionReader {
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";

  private final ObjectMapper mapper = new ObjectMapper();
  private final boolean streamed;
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private boolean doneReceived;

  CompletionReader(boolean streamed) {
    this.streamed = streamed;
  }

  /**
   * Appends the next bytes of the body and returns the number of parts with text that they
   * complete.
   */
  int append(byte[] bytes) {
    int parts = 0;
    for (byte b : bytes) {
      pending.write(b);
      if (streamed && b == '\n') {
        parts += parseLine(pending.toString(StandardCharsets.UTF_8).strip());
        pending.reset();
      }
    }
    return parts;
  }

  /**
   * Returns whether the answer is complete: a stream has ended with {@code [DONE]}, any other
   * answer contains text.
   */
  boolean isComplete() {
    if (streamed) {
      return doneReceived;
    }
    String content =
        parseJson(pending.toByteArray()).path("choices").path(0).at("/message/content").asText();
    text.setLength(0);
    text.append(content);
    return !content.isEmpty();
  }

  String text() {
    return text.toString();
  }

  private int parseLine(String line) {
    if (!line.startsWith(DATA)) {
      return 0;
    }
    String data = line.substring(DATA.length()).strip();
    if (data.equals(DONE)) {
      doneReceived = true;
      return 0;
    }
    JsonNode json = parseJson(data.getBytes(StandardCharsets.UTF_8));
    String content = json.path("choices").path(0).path("delta").path("content").asText("");
    text.append(content);
    return content.isEmpty() ? 0 : 1;
  }

  private JsonNode parseJson(byte[] json) {
    try {
      return mapper.readTree(json);
    } catch (IOException e) {
      return mapper.createObjectNode();
    }
  }
}
