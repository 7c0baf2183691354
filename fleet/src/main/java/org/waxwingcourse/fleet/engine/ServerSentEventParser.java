package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Parses a stream of server-sent events into complete events, so that a stream that breaks off can
 * be continued by another engine after its last complete event. Once the stream contains bytes that
 * are no event, the rest of it is ignored. The result does not depend on how the stream is split.
 * Used by one thread at a time.
 */
public final class ServerSentEventParser {
  /** The id of an event that states none. */
  public static final long NO_ID = -1;

  /** The maximum size of an event in bytes, empty lines before it included. */
  public static final int MAX_EVENT_BYTES = 64 * 1024;

  private static final int INITIAL_CAPACITY = 512;
  private static final String ID = "id:";
  private static final String DATA = "data:";

  /** Beginnings of the lines that the format knows; an event has at least one of them. */
  private static final List<String> LINE_STARTS = List.of(ID, DATA, "event:", "retry:", ":");

  private byte[] pending = new byte[INITIAL_CAPACITY];
  private int pendingBytes;
  private boolean insideEvent;
  private boolean insideLine;
  private int eventCount;
  private Option<String> malformation = Option.none();

  /**
   * One complete event.
   *
   * @param id its numeric id, {@link #NO_ID} without one
   * @param data its data lines, joined by line feeds
   * @param bytes the bytes as received, with the empty line that ends the event
   */
  public record ServerSentEvent(long id, String data, byte[] bytes) {
    /** Returns whether it carries nothing for the receiver of the stream, as a comment does. */
    public boolean isBlank() {
      return id == NO_ID && data.isEmpty();
    }
  }

  /**
   * Parses the next bytes of the stream and returns the events that they complete, possibly none.
   */
  public List<ServerSentEvent> parse(byte[] bytes) {
    List<ServerSentEvent> events = new ArrayList<>();
    for (int i = 0; i < bytes.length && malformation.isEmpty(); i++) {
      append(bytes[i]);
      if (malformation.isEmpty() && bytes[i] == '\n' && insideEvent && !insideLine) {
        parseEvent().forEach(events::add);
      }
      insideLine = bytes[i] != '\n' && (insideLine || bytes[i] != '\r');
      insideEvent |= insideLine;
    }
    eventCount += events.size();
    return events;
  }

  private void append(byte next) {
    if (pendingBytes == MAX_EVENT_BYTES) {
      reject("an event of more than " + MAX_EVENT_BYTES + " bytes");
      return;
    }
    if (pendingBytes == pending.length) {
      pending = Arrays.copyOf(pending, Math.min(2 * pending.length, MAX_EVENT_BYTES));
    }
    pending[pendingBytes++] = next;
  }

  private void reject(String reason) {
    malformation = Option.some(reason);
    pending = new byte[0];
    pendingBytes = 0;
  }

  /** Returns why the stream is not a stream of events, none if it is as far as it was received. */
  public Option<String> malformation() {
    return malformation;
  }

  /** Returns the number of complete events received. */
  int eventCount() {
    return eventCount;
  }

  /** Returns whether an event has begun and is not complete; further empty lines begin none. */
  public boolean isInsideEvent() {
    return insideEvent;
  }

  /** Returns the bytes received after the last complete event. */
  public byte[] unparsedBytes() {
    return Arrays.copyOf(pending, pendingBytes);
  }

  private Option<ServerSentEvent> parseEvent() {
    byte[] bytes = unparsedBytes();
    pendingBytes = 0;
    insideEvent = false;
    long id = NO_ID;
    boolean known = false;
    List<String> data = new ArrayList<>();
    for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
      known |= LINE_STARTS.stream().anyMatch(line::startsWith);
      if (line.startsWith(ID)) {
        id = parseId(fieldValue(line, ID));
      } else if (line.startsWith(DATA)) {
        data.add(fieldValue(line, DATA));
      }
    }
    if (!known) {
      reject("bytes that are no event");
      return Option.none();
    }
    return Option.some(new ServerSentEvent(id, String.join("\n", data), bytes));
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
