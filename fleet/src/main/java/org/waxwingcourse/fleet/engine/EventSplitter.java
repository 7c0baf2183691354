package org.waxwingcourse.fleet.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks off can go on
 * elsewhere after its last whole event. Used by one thread at a time.
 */
public final class EventSplitter {
  /** Stands for an event without an id. */
  public static final long NO_ID = -1;

  private static final String ID = "id:";
  private static final String DATA = "data:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

  /**
   * One whole event.
   *
   * @param id its number, {@link #NO_ID} without one
   * @param data its data lines, joined by line feeds
   * @param bytes as received, with the empty line that ends it
   */
  public record Event(long id, String data, byte[] bytes) {}

  /** Takes the next bytes and returns the events that are whole by now, maybe none. */
  public List<Event> take(byte[] bytes) {
    pending.writeBytes(bytes);
    byte[] all = pending.toByteArray();
    List<Event> events = new ArrayList<>();
    int start = 0;
    int end = endOfEvent(all, 0);
    while (end > 0) {
      events.add(read(Arrays.copyOfRange(all, start, end)));
      start = end;
      end = endOfEvent(all, start);
    }
    if (start > 0) {
      pending.reset();
      pending.write(all, start, all.length - start);
    }
    return events;
  }

  /** Returns the bytes after the last whole event. */
  public byte[] rest() {
    return pending.toByteArray();
  }

  /** Returns the index after the empty line that ends the event at {@code from}, zero if none. */
  private static int endOfEvent(byte[] all, int from) {
    for (int i = from; i + 1 < all.length; i++) {
      if (all[i] != '\n') {
        continue;
      }
      if (all[i + 1] == '\n') {
        return i + 2;
      }
      if (all[i + 1] == '\r' && i + 2 < all.length && all[i + 2] == '\n') {
        return i + 3;
      }
    }
    return 0;
  }

  private static Event read(byte[] bytes) {
    long id = NO_ID;
    List<String> data = new ArrayList<>();
    for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith(ID)) {
        id = number(value(line, ID));
      } else if (line.startsWith(DATA)) {
        data.add(value(line, DATA));
      }
    }
    return new Event(id, String.join("\n", data), bytes);
  }

  private static String value(String line, String field) {
    String value = line.substring(field.length());
    return value.startsWith(" ") ? value.substring(1) : value;
  }

  private static long number(String text) {
    try {
      return Long.parseLong(text.trim());
    } catch (NumberFormatException e) {
      return NO_ID;
    }
  }
}
