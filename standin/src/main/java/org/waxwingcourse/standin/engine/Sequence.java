package org.waxwingcourse.standin.engine;

/** One request as the engine runs it. Only the engine's loop touches it. */
final class Sequence {
  private final String requestId;
  private final Prompt prompt;
  private final int maxTokens;
  private TokenSink sink;
  private int from;
  private int produced;
  private int cachedTokens;

  Sequence(String requestId, Prompt prompt, int maxTokens, TokenSink sink) {
    this.requestId = requestId;
    this.prompt = prompt;
    this.maxTokens = maxTokens;
    this.sink = sink;
  }

  String requestId() {
    return requestId;
  }

  Prompt prompt() {
    return prompt;
  }

  int maxTokens() {
    return maxTokens;
  }

  int cachedTokens() {
    return cachedTokens;
  }

  void setCachedTokens(int tokens) {
    cachedTokens = tokens;
  }

  boolean goesTo(TokenSink other) {
    return sink == other;
  }

  boolean isFinished() {
    return produced >= maxTokens;
  }

  /** Hands the answer to another sink, from token {@code token} on. */
  void resume(int token, TokenSink newSink) {
    sink = newSink;
    from = token;
    for (int i = from; i < produced; i++) {
      sink.onToken(i, prompt.answerToken(i));
    }
    if (isFinished()) {
      sink.onFinished(this);
    }
  }

  /** Produces the next token. */
  void advance() {
    int index = produced;
    produced++;
    if (index >= from) {
      sink.onToken(index, prompt.answerToken(index));
    }
    if (isFinished()) {
      sink.onFinished(this);
    }
  }

  void drop() {
    sink.onDropped();
  }
}
