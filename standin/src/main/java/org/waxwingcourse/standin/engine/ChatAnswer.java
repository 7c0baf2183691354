package org.waxwingcourse.standin.engine;

import java.util.List;

/** The messages of the OpenAI chat completions API that the stand-in sends. */
final class ChatAnswer {
  static final String FINISHED_BY_LENGTH = "length";
  private static final String ASSISTANT = "assistant";

  private ChatAnswer() {}

  /** A message, or a part of one. */
  record Message(String role, String content) {}

  /** The only choice of an answer. */
  record Choice(int index, Message message, Message delta, String finishReason) {}

  /** Details of the prompt's tokens. */
  record PromptDetails(int cachedTokens) {}

  /** Counts of tokens. */
  record Usage(
      int promptTokens, int completionTokens, int totalTokens, PromptDetails promptTokensDetails) {
    static Usage of(Sequence sequence) {
      int prompt = sequence.prompt().tokens();
      int completion = sequence.maxTokens();
      PromptDetails details = new PromptDetails(sequence.cachedTokens());
      return new Usage(prompt, completion, prompt + completion, details);
    }
  }

  /** A whole answer or one part of a stream. */
  record Completion(
      String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

  /** A model. */
  record Model(String id, String object, long created, String ownedBy) {}

  /** The list of models. */
  record Models(String object, List<Model> data) {}

  /** The inner part of an error. */
  record ErrorDetail(String message, String type, String code) {}

  /** An error. */
  record ErrorBody(ErrorDetail error) {
    static ErrorBody of(String message, String code) {
      return new ErrorBody(new ErrorDetail(message, "invalid_request_error", code));
    }
  }

  static Completion whole(String id, long created, String model, Sequence sequence) {
    Message message = new Message(ASSISTANT, sequence.prompt().answer(sequence.maxTokens()));
    Choice choice = new Choice(0, message, null, FINISHED_BY_LENGTH);
    Usage usage = Usage.of(sequence);
    return new Completion(id, "chat.completion", created, model, List.of(choice), usage);
  }

  static Completion part(String id, long created, String model, int index, String text) {
    Message delta = new Message(index == 0 ? ASSISTANT : null, text);
    return chunk(id, created, model, List.of(new Choice(0, null, delta, null)), null);
  }

  static Completion lastPart(String id, long created, String model) {
    Choice choice = new Choice(0, null, new Message(null, null), FINISHED_BY_LENGTH);
    return chunk(id, created, model, List.of(choice), null);
  }

  static Completion usagePart(String id, long created, String model, Sequence sequence) {
    return chunk(id, created, model, List.of(), Usage.of(sequence));
  }

  private static Completion chunk(
      String id, long created, String model, List<Choice> choices, Usage usage) {
    return new Completion(id, "chat.completion.chunk", created, model, choices, usage);
  }
}
