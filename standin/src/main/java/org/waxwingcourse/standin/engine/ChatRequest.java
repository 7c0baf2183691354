package org.waxwingcourse.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** The fields of a chat completion request that the stand-in reads. */
record ChatRequest(
    String model,
    List<RequestMessage> messages,
    boolean stream,
    int maxTokens,
    int maxCompletionTokens,
    StreamOptions streamOptions) {
  private static final int DEFAULT_MAX_TOKENS = 16;

  /** A message; its content is a string or a list of parts. */
  record RequestMessage(String role, JsonNode content) {
    String text() {
      if (content == null || !content.isArray()) {
        return content == null ? "" : content.asText();
      }
      StringBuilder text = new StringBuilder();
      content.forEach(part -> text.append(part.path("text").asText()));
      return text.toString();
    }
  }

  /** The options of a streamed response. */
  record StreamOptions(boolean includeUsage) {}

  Prompt prompt() {
    StringBuilder text = new StringBuilder();
    for (RequestMessage message : messages) {
      text.append(message.role()).append(": ").append(message.text()).append('\n');
    }
    return Prompt.of(text.toString());
  }

  int tokenLimit() {
    if (maxCompletionTokens > 0) {
      return maxCompletionTokens;
    }
    return maxTokens > 0 ? maxTokens : DEFAULT_MAX_TOKENS;
  }

  boolean includesUsage() {
    return streamOptions != null && streamOptions.includeUsage();
  }
}
