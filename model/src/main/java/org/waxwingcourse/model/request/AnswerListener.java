package org.waxwingcourse.model.request;

/**
 * Receives one answer. The calls come in order from one thread at a time: at most one {@code
 * onStart}, any number of {@code onChunk}, exactly one {@code onEnd}. A refusal has only {@code
 * onEnd}.
 */
public interface AnswerListener {
  /**
   * The upstream has begun to answer.
   *
   * @param status HTTP status
   * @param contentType media type of the chunks
   */
  void onStart(int status, String contentType);

  /** The next bytes of the answer. The listener keeps the array. */
  void onChunk(byte[] bytes);

  /** The answer has ended. */
  void onEnd(Outcome outcome);
}
