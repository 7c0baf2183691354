package org.waxwingcourse.model.request;

/**
 * Receives one answer. The methods are called in order and by one thread at a time: {@code onStart}
 * at most once, {@code onChunk} any number of times and {@code onEnd} exactly once. A refusal calls
 * only {@code onEnd}.
 */
public interface AnswerListener {
  /**
   * Called when the upstream begins to answer.
   *
   * @param status the HTTP status
   * @param contentType the media type of the chunks
   */
  void onStart(int status, String contentType);

  /** Called with the next bytes of the answer. The listener takes ownership of the array. */
  void onChunk(byte[] bytes);

  /** Called when the answer has ended. */
  void onEnd(Outcome outcome);
}
