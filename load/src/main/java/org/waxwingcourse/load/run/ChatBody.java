package org.waxwingcourse.load.run;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.List;

/** The body of a chat completion request. */
record ChatBody(
    @JsonProperty("model") String model,
    @JsonProperty("messages") List<Message> messages,
    @JsonProperty("max_tokens") int maxTokens,
    @JsonProperty("stream") boolean stream) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** One message of the conversation. */
  record Message(@JsonProperty("role") String role, @JsonProperty("content") String content) {}

  static ChatBody of(String model, String prompt, int maxTokens, boolean stream) {
    return new ChatBody(model, List.of(new Message("user", prompt)), maxTokens, stream);
  }

  String json() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
