package org.waxwingcourse.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** The parts of a chat completion request that the stand-in minds. */
record ChatRequest(
    String model,
    List<Message> messages,
    boolean stream,
    int maxTokens,
    int maxCompletionTokens,
    StreamOptions streamOptions) {
  private static final int USUAL_TOKENS = 16;

  /** One message; its content is a text or a list of parts. */
  record Message(String role, JsonNode content) {
    String text() {
      if (content == null || !content.isArray()) {
        return content == null ? "" : content.asText();
      }
      StringBuilder text = new StringBuilder();
      content.forEach(part -> text.append(part.path("text").asText()));
      return text.toString();
    }
  }

  /** What a stream carries besides the answer. */
  record StreamOptions(boolean includeUsage) {}

  Prompt prompt() {
    StringBuilder text = new StringBuilder();
    for (Message message : messages) {
      text.append(message.role()).append(": ").append(message.text()).append('\n');
    }
    return Prompt.of(text.toString());
  }

  int tokensWanted() {
    if (maxCompletionTokens > 0) {
      return maxCompletionTokens;
    }
    return maxTokens > 0 ? maxTokens : USUAL_TOKENS;
  }

  boolean wantsUsage() {
    return streamOptions != null && streamOptions.includeUsage();
  }
}
