package org.waxwingcourse.fleet.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Parses a stream of server-sent events into complete events, so that a stream that breaks off can
 * be continued by another engine after its last complete event. Used by one thread at a time.
 */
public final class ServerSentEventParser {
  /** The id of an event that states none. */
  public static final long NO_ID = -1;

  private static final String ID = "id:";
  private static final String DATA = "data:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private int eventCount;

  /**
   * One complete event.
   *
   * @param id its numeric id, {@link #NO_ID} without one
   * @param data its data lines, joined by line feeds
   * @param bytes the bytes as received, with the empty line that ends the event
   */
  public record ServerSentEvent(long id, String data, byte[] bytes) {}

  /**
   * Parses the next bytes of the stream and returns the events that they complete, possibly none.
   */
  public List<ServerSentEvent> parse(byte[] bytes) {
    pending.writeBytes(bytes);
    byte[] buffered = pending.toByteArray();
    List<ServerSentEvent> events = new ArrayList<>();
    int start = 0;
    int end = endOfEvent(buffered, 0);
    while (end > 0) {
      events.add(parseEvent(Arrays.copyOfRange(buffered, start, end)));
      start = end;
      end = endOfEvent(buffered, start);
    }
    eventCount += events.size();
    if (start > 0) {
      pending.reset();
      pending.write(buffered, start, buffered.length - start);
    }
    return events;
  }

  /** Returns the number of complete events received. */
  int eventCount() {
    return eventCount;
  }

  /** Returns whether an event has begun and is not complete; further empty lines begin none. */
  public boolean isInsideEvent() {
    for (byte b : pending.toByteArray()) {
      if (b != '\n' && b != '\r') {
        return true;
      }
    }
    return false;
  }

  /** Returns the bytes received after the last complete event. */
  public byte[] unparsedBytes() {
    return pending.toByteArray();
  }

  /**
   * Returns the index after the empty line that ends the event at {@code from}, zero if the event
   * is incomplete.
   */
  private static int endOfEvent(byte[] buffered, int from) {
    for (int i = from; i + 1 < buffered.length; i++) {
      if (buffered[i] != '\n') {
        continue;
      }
      if (buffered[i + 1] == '\n') {
        return i + 2;
      }
      if (buffered[i + 1] == '\r' && i + 2 < buffered.length && buffered[i + 2] == '\n') {
        return i + 3;
      }
    }
    return 0;
  }

  private static ServerSentEvent parseEvent(byte[] bytes) {
    long id = NO_ID;
    List<String> data = new ArrayList<>();
    for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith(ID)) {
        id = parseId(fieldValue(line, ID));
      } else if (line.startsWith(DATA)) {
        data.add(fieldValue(line, DATA));
      }
    }
    return new ServerSentEvent(id, String.join("\n", data), bytes);
  }

  private static String fieldValue(String line, String field) {
    String value = line.substring(field.length());
    return value.startsWith(" ") ? value.substring(1) : value;
  }

  private static long parseId(String text) {
    try {
      return Long.parseLong(text.trim());
    } catch (NumberFormatException e) {
      return NO_ID;
    }
  }
}
