package org.waxwingcourse.upstream.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into complete events, so that an interrupted response can
 * be resumed at a token boundary. Used by one thread at a time.
 */
final class SseEventSplitter {
  private static final String FINAL_EVENT = "data: [DONE]\n\n";
  private static final String CONTENT_FIELD = "\"content\":\"";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private final ResponseIdCheck idCheck;
  private int tokens;
  private boolean complete;
  private boolean mismatched;

  SseEventSplitter(ResponseIdCheck idCheck) {
    this.idCheck = idCheck;
  }

  /** Appends the next bytes and returns all events that are now complete, possibly none. */
  byte[] append(byte[] bytes) {
    pending.writeBytes(bytes);
    byte[] all = pending.toByteArray();
    int eventEnd = 0;
    for (int i = 0; i + 1 < all.length; i++) {
      if (all[i] == '\n' && all[i + 1] == '\n') {
        parse(new String(all, eventEnd, i + 2 - eventEnd, StandardCharsets.UTF_8));
        eventEnd = i + 2;
        i++;
      }
    }
    if (eventEnd == 0) {
      return new byte[0];
    }
    pending.reset();
    pending.write(all, eventEnd, all.length - eventEnd);
    return Arrays.copyOf(all, eventEnd);
  }

  /** Returns the number of events that contained a part of the response. */
  int tokens() {
    return tokens;
  }

  /** Returns whether the final event was received, which means that the response is complete. */
  boolean isComplete() {
    return complete;
  }

  /** Returns whether an event belonged to another request. */
  boolean mismatched() {
    return mismatched;
  }

  private void parse(String event) {
    if (event.equals(FINAL_EVENT)) {
      complete = true;
      return;
    }
    mismatched |= idCheck.belongsToOtherRequest(event);
    if (event.contains(CONTENT_FIELD)) {
      tokens++;
    }
  }
}
