package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;

/**
 * Decides whether an event stream is complete when its response has ended without a failure. The
 * events themselves do not tell which one is the last, so an engine that ends its response after a
 * whole event is taken to have sent all of them.
 */
public final class StreamEnd {
  private StreamEnd() {}

  /**
   * Returns why the stream has been broken off, none if it is complete.
   *
   * @param head the head of the answer
   * @param received the events received
   */
  public static Option<String> findBreak(EngineAnswer head, ServerSentEventParser received) {
    if (received.isInsideEvent()) {
      return Option.some("the stream ended inside an event");
    }
    // A crash before the first event closes the connection like the end of an empty stream.
    return Option.when(
        head.closeDelimited() && received.eventCount() == 0,
        "the connection closed before the first event");
  }
}
