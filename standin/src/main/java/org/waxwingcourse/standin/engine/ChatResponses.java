package org.waxwingcourse.standin.engine;

import java.util.List;

/** The response bodies of the OpenAI chat completions API that the stand-in sends. */
final class ChatResponses {
  static final String FINISHED_BY_LENGTH = "length";
  private static final String ASSISTANT = "assistant";

  private ChatResponses() {}

  /** A message, or its increment in a stream. */
  record ResponseMessage(String role, String content) {}

  /** A choice of a completion; the stand-in sends at most one. */
  record Choice(int index, ResponseMessage message, ResponseMessage delta, String finishReason) {}

  /** The number of prompt tokens that were read from the prefix cache. */
  record PromptTokenDetails(int cachedTokens) {}

  /** The token counts of a completion. */
  record Usage(
      int promptTokens,
      int completionTokens,
      int totalTokens,
      PromptTokenDetails promptTokensDetails) {
    static Usage of(Sequence sequence) {
      int promptTokens = sequence.prompt().tokens();
      int completionTokens = sequence.maxTokens();
      PromptTokenDetails details = new PromptTokenDetails(sequence.cachedTokens());
      return new Usage(promptTokens, completionTokens, promptTokens + completionTokens, details);
    }
  }

  /** A complete response, or one chunk of a stream. */
  record Completion(
      String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

  /** A served model. */
  record Model(String id, String object, long created, String ownedBy) {}

  /** The list of served models. */
  record Models(String object, List<Model> data) {}

  /** The details of an error. */
  record ErrorDetail(String message, String type, String code) {}

  /** The body of an error response. */
  record ErrorBody(ErrorDetail error) {
    static ErrorBody of(String message, String code) {
      return new ErrorBody(new ErrorDetail(message, "invalid_request_error", code));
    }
  }

  static Completion completion(String id, long created, String model, Sequence sequence) {
    ResponseMessage message =
        new ResponseMessage(ASSISTANT, sequence.prompt().answer(sequence.maxTokens()));
    Choice choice = new Choice(0, message, null, FINISHED_BY_LENGTH);
    Usage usage = Usage.of(sequence);
    return new Completion(id, "chat.completion", created, model, List.of(choice), usage);
  }

  static Completion tokenChunk(String id, long created, String model, int index, String text) {
    ResponseMessage delta = new ResponseMessage(index == 0 ? ASSISTANT : null, text);
    return newChunk(id, created, model, List.of(new Choice(0, null, delta, null)), null);
  }

  static Completion finishChunk(String id, long created, String model) {
    Choice choice = new Choice(0, null, new ResponseMessage(null, null), FINISHED_BY_LENGTH);
    return newChunk(id, created, model, List.of(choice), null);
  }

  static Completion usageChunk(String id, long created, String model, Sequence sequence) {
    return newChunk(id, created, model, List.of(), Usage.of(sequence));
  }

  private static Completion newChunk(
      String id, long created, String model, List<Choice> choices, Usage usage) {
    return new Completion(id, "chat.completion.chunk", created, model, choices, usage);
  }
}
