package org.waxwingcourse.http;

import io.vavr.control.Option;

/**
 * Receives a streamed answer: at most one {@code onHead}, any number of {@code onChunk}, exactly
 * one {@code onEnd}, in order and from one thread at a time.
 */
public interface StreamListener {
  /** The status line and headers have arrived; the body of {@code head} is empty. */
  void onHead(HttpAnswer head);

  /** The next bytes of the body. The listener keeps the array. */
  void onChunk(byte[] bytes);

  /** The answer has ended, whole if there is no failure. */
  void onEnd(Option<CallFailure> failure);
}
