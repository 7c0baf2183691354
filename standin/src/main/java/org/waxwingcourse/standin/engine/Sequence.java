package org.waxwingcourse.standin.engine;

/** A request that the engine runs. Confined to the thread of the engine loop. */
final class Sequence {
  private final String requestId;
  private final Prompt prompt;
  private final int maxTokens;
  private TokenSink sink;
  private int firstToken;
  private int producedTokens;
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

  boolean hasSink(TokenSink other) {
    return sink == other;
  }

  boolean isFinished() {
    return producedTokens >= maxTokens;
  }

  /** Sends the answer to another sink, starting with token {@code token}. */
  void resume(int token, TokenSink newSink) {
    sink = newSink;
    firstToken = token;
    for (int i = firstToken; i < producedTokens; i++) {
      sink.onToken(i, prompt.answerToken(i));
    }
    if (isFinished()) {
      sink.onFinished(this);
    }
  }

  /** Produces the next token. */
  void produceToken() {
    int index = producedTokens;
    producedTokens++;
    if (index >= firstToken) {
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
