package org.waxwingcourse.http;

import io.vavr.control.Option;

/**
 * Receives a streamed response: at most one {@code onHead}, any number of {@code onChunk}, exactly
 * one {@code onEnd}, in this order and from one thread at a time.
 */
public interface StreamListener {
  /** Receives the status line and headers; the body of {@code head} is empty. */
  void onHead(HttpAnswer head);

  /** Receives the next bytes of the body. The listener takes ownership of the array. */
  void onChunk(byte[] bytes);

  /** Receives the end of the response, which is complete if there is no failure. */
  void onEnd(Option<CallFailure> failure);
}
