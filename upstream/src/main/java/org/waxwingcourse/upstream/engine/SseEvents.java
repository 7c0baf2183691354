package org.waxwingcourse.upstream.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of server-sent events into whole events, so that an answer that breaks off can be
 * taken up again at a token's boundary. Used by one thread at a time.
 */
final class SseEvents {
  private static final String DONE = "data: [DONE]\n\n";
  private static final String CONTENT = "\"content\":\"";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private final AnswerId id;
  private int tokens;
  private boolean done;
  private boolean crossed;

  SseEvents(AnswerId id) {
    this.id = id;
  }

  /** Takes the next bytes and returns all events that are whole by now, maybe none. */
  byte[] take(byte[] bytes) {
    pending.writeBytes(bytes);
    byte[] all = pending.toByteArray();
    int end = 0;
    for (int i = 0; i + 1 < all.length; i++) {
      if (all[i] == '\n' && all[i + 1] == '\n') {
        read(new String(all, end, i + 2 - end, StandardCharsets.UTF_8));
        end = i + 2;
        i++;
      }
    }
    if (end == 0) {
      return new byte[0];
    }
    pending.reset();
    pending.write(all, end, all.length - end);
    return Arrays.copyOf(all, end);
  }

  /** Returns the number of events that carried a part of the answer. */
  int tokens() {
    return tokens;
  }

  /** Tells whether the closing event was seen: the answer is whole. */
  boolean done() {
    return done;
  }

  /** Tells whether an event belonged to another request. */
  boolean crossed() {
    return crossed;
  }

  private void read(String event) {
    if (event.equals(DONE)) {
      done = true;
      return;
    }
    crossed |= id.isOfAnother(event);
    if (event.contains(CONTENT)) {
      tokens++;
    }
  }
}
