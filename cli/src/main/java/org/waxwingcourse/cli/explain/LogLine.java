package org.waxwingcourse.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line in the log of a process.
 *
 * @param process the name of the log file
 * @param at the time at which the line was written, by the wall clock of its host
 * @param event the event number, see docs/EVENTS.md
 * @param text the message text after the event number
 */
public record LogLine(String process, Instant at, int event, String text) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Pattern MESSAGE_PATTERN = Pattern.compile("W(\\d{3}) (.*)", Pattern.DOTALL);

  /** Parses a line; returns none if it is not an event of a host, such as output of the JVM. */
  public static Option<LogLine> parse(String process, String line) {
    try {
      JsonNode root = MAPPER.readTree(line);
      Matcher message = MESSAGE_PATTERN.matcher(root.path("message").asText());
      return Option.when(
          message.matches(),
          () ->
              new LogLine(
                  process,
                  Instant.parse(root.path("at").asText()),
                  Integer.parseInt(message.group(1)),
                  message.group(2)));
    } catch (JsonProcessingException | DateTimeParseException e) {
      return Option.none();
    }
  }

  /** Tells whether the text contains {@code word} as a whole word. */
  public boolean containsWord(String word) {
    for (int at = text.indexOf(word); at >= 0; at = text.indexOf(word, at + 1)) {
      if (isWordBoundary(at - 1) && isWordBoundary(at + word.length())) {
        return true;
      }
    }
    return false;
  }

  private boolean isWordBoundary(int index) {
    return index < 0 || index >= text.length() || !isWordCharacter(text.charAt(index));
  }

  private static boolean isWordCharacter(char c) {
    return Character.isLetterOrDigit(c) || c == '-' || c == '_';
  }
}
