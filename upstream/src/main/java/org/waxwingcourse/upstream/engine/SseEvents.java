package org.waxwingcourse.upstream.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of server-sent events into whole events, so that an answer that breaks off can be
 * taken up again at a token's boundary. Used by one thread at a time.
 */
final class SseEvents {
  private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private int tokens;
  private boolean done;

  /** Takes the next bytes and returns all events that are whole by now, maybe none. */
  byte[] take(byte[] bytes) {
    pending.writeBytes(bytes);
    byte[] all = pending.toByteArray();
    int end = 0;
    for (int i = 0; i + 1 < all.length; i++) {
      if (all[i] == '\n' && all[i + 1] == '\n') {
        count(all, end, i + 2);
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

  /** Returns the number of data events seen, the closing one apart. */
  int tokens() {
    return tokens;
  }

  /** Tells whether the closing event was seen: the answer is whole. */
  boolean done() {
    return done;
  }

  private void count(byte[] all, int from, int to) {
    if (Arrays.equals(all, from, to, DONE, 0, DONE.length)) {
      done = true;
    } else if (to - from > DATA.length
        && Arrays.equals(all, from, from + DATA.length, DATA, 0, DATA.length)) {
      tokens++;
    }
  }
}
