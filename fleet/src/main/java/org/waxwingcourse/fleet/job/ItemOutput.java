package org.waxwingcourse.fleet.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The output of an item so far: the data of the events of all its runs, in order.
 *
 * <p>Not safe for use by several threads.
 */
final class ItemOutput {
  private final List<String> eventData = new ArrayList<>();
  private long bytes;

  void add(String data) {
    eventData.add(data);
    bytes += data.getBytes(StandardCharsets.UTF_8).length + 1;
  }

  void clear() {
    eventData.clear();
    bytes = 0;
  }

  int eventCount() {
    return eventData.size();
  }

  /** Returns the size in bytes of the text, a separator after each event included. */
  long bytes() {
    return bytes;
  }

  /** Returns the data of all events, separated by line feeds. */
  String text() {
    return String.join("\n", eventData);
  }
}
