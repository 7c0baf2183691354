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
 * One line of a process's log.
 *
 * @param process the name of the file that it stands in
 * @param at when it was written, by the clock of its host
 * @param event the number of the event, see docs/EVENTS.md
 * @param text the message after the number
 */
public record LogLine(String process, Instant at, int event, String text) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Pattern MESSAGE = Pattern.compile("W(\\d{3}) (.*)", Pattern.DOTALL);

  /** Reads a line; none if it was not written by a host, such as one of the runtime. */
  public static Option<LogLine> parse(String process, String line) {
    try {
      JsonNode root = MAPPER.readTree(line);
      Matcher message = MESSAGE.matcher(root.path("message").asText());
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

  /** Tells whether the text holds {@code word} and not merely a longer word around it. */
  public boolean names(String word) {
    for (int at = text.indexOf(word); at >= 0; at = text.indexOf(word, at + 1)) {
      if (isEdge(at - 1) && isEdge(at + word.length())) {
        return true;
      }
    }
    return false;
  }

  private boolean isEdge(int index) {
    return index < 0 || index >= text.length() || !isWordPart(text.charAt(index));
  }

  private static boolean isWordPart(char c) {
    return Character.isLetterOrDigit(c) || c == '-' || c == '_';
  }
}
