package org.waxwingcourse.load.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads one chat completion, whole or as server-sent events, as its bytes come. */
final class AnswerReader {
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";

  private final ObjectMapper mapper = new ObjectMapper();
  private final boolean streamed;
  private final ByteArrayOutputStream rest = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private boolean done;

  AnswerReader(boolean streamed) {
    this.streamed = streamed;
  }

  /** Takes the next bytes; returns how many parts with text they completed. */
  int take(byte[] bytes) {
    int parts = 0;
    for (byte b : bytes) {
      rest.write(b);
      if (streamed && b == '\n') {
        parts += takeLine(rest.toString(StandardCharsets.UTF_8).strip());
        rest.reset();
      }
    }
    return parts;
  }

  /** Tells whether the answer has come to its own end. */
  boolean isWhole() {
    if (streamed) {
      return done;
    }
    String content =
        read(rest.toByteArray()).path("choices").path(0).at("/message/content").asText();
    text.setLength(0);
    text.append(content);
    return !content.isEmpty();
  }

  String text() {
    return text.toString();
  }

  private int takeLine(String line) {
    if (!line.startsWith(DATA)) {
      return 0;
    }
    String data = line.substring(DATA.length()).strip();
    if (data.equals(DONE)) {
      done = true;
      return 0;
    }
    JsonNode json = read(data.getBytes(StandardCharsets.UTF_8));
    String content = json.path("choices").path(0).path("delta").path("content").asText("");
    text.append(content);
    return content.isEmpty() ? 0 : 1;
  }

  private JsonNode read(byte[] json) {
    try {
      return mapper.readTree(json);
    } catch (IOException e) {
      return mapper.createObjectNode();
    }
  }
}
