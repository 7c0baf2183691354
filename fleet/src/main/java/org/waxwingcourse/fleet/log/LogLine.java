package org.waxwingcourse.fleet.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import org.apache.logging.log4j.Level;

/**
 * A line of the log: one JSON object with the fields of {@code event-layout.json}.
 *
 * @param atMillis when the line was logged, as Unix milliseconds
 * @param level the level
 * @param message the formatted message
 * @param source the name of the logger
 * @param thread the name of the thread that logged it
 * @param thrown the exception, null if there is none
 */
record LogLine(
    long atMillis, Level level, String message, String source, String thread, Throwable thrown) {
  private static final int TYPICAL_LINE_CHARS = 320;
  private static final int MILLIS_PER_SECOND = 1000;

  /** Returns the line with its line break. */
  String toJson() {
    StringBuilder line = new StringBuilder(TYPICAL_LINE_CHARS);
    line.append("{\"at\":\"");
    appendTime(line);
    line.append("\",");
    appendField(line, "level", level.name());
    appendField(line, "message", message);
    appendField(line, "source", source);
    appendField(line, "thread", thread);
    if (thrown != null) {
      appendField(line, "error", stackOf(thrown));
    }
    line.setCharAt(line.length() - 1, '}');
    return line.append('\n').toString();
  }

  /**
   * Appends the time as {@link java.time.Instant#toString} does, without the formatters of {@code
   * java.time.format}, which load some eighty classes at the start of a host.
   */
  private void appendTime(StringBuilder line) {
    int millis = (int) Math.floorMod(atMillis, (long) MILLIS_PER_SECOND);
    LocalDateTime at =
        LocalDateTime.ofEpochSecond(
            Math.floorDiv(atMillis, (long) MILLIS_PER_SECOND), 0, ZoneOffset.UTC);
    line.append(at.toLocalDate()).append('T');
    appendDigits(line, at.getHour(), 10);
    line.append(':');
    appendDigits(line, at.getMinute(), 10);
    line.append(':');
    appendDigits(line, at.getSecond(), 10);
    if (millis != 0) {
      line.append('.');
      appendDigits(line, millis, 100);
    }
    line.append('Z');
  }

  private static void appendDigits(StringBuilder line, int value, int highest) {
    for (int unit = highest; unit > 0; unit /= 10) {
      line.append((char) ('0' + value / unit % 10));
    }
  }

  private static void appendField(StringBuilder line, String name, String value) {
    line.append('"').append(name).append("\":\"");
    JsonStringEncoder.getInstance().quoteAsString(value, line);
    line.append("\",");
  }

  private static String stackOf(Throwable thrown) {
    StringWriter stack = new StringWriter();
    thrown.printStackTrace(new PrintWriter(stack));
    return stack.toString();
  }
}
