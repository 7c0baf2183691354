package org.waxwingcourse.cli.explain;

import io.vavr.collection.HashSet;
import io.vavr.collection.List;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The log lines that explain the outcome of one request or job: its own lines in order of time, the
 * line that decided its outcome, and related state changes on the hosts that processed it.
 *
 * @param ownLines the lines that contain its id, ordered by time
 * @param decidingLine the line that states the reason for its outcome, none if no line does
 * @param relatedLines the state changes on the hosts that it involved, close in time
 */
public record Explanation(
    List<LogLine> ownLines, Option<LogLine> decidingLine, List<LogLine> relatedLines) {
  /**
   * Events that decide the outcome of a request or job, the most specific first: a rejection with
   * its inputs is more specific than the closing line that repeats it.
   */
  private static final List<Integer> OUTCOME_EVENTS =
      List.of(
          801, 505, 800, 803, 802, 624, 611, 612, 623, 618, 616, 615, 640, 620, 622, 617, 613, 626,
          610);

  /** The end of the closing line of a request that succeeded. */
  private static final Pattern SUCCESS_STATUS = Pattern.compile(": status 2\\d\\d$");

  /** Events that change a process's view of hosts, engines, the configuration or the store. */
  private static final Set<Integer> STATE_CHANGE_EVENTS =
      HashSet.of(
          100, 101, 102, 203, 204, 207, 430, 431, 433, 434, 436, 500, 503, 504, 520, 521, 522, 523,
          524, 700);

  /** State change events that concern a single engine. */
  private static final Set<Integer> ENGINE_EVENTS =
      HashSet.of(500, 503, 504, 520, 521, 522, 523, 524);

  /**
   * The period before the first line of a request in which a state change may have caused its
   * outcome.
   */
  private static final Duration LOOKBACK = Duration.ofSeconds(3);

  /** The maximum expected difference between the clocks of hosts. */
  private static final Duration CLOCK_SKEW = Duration.ofMillis(500);

  /** Matches names of engines and hosts in the lines of a request. */
  private static final Pattern NAME_PATTERN =
      Pattern.compile("(?:engines?|host|runner|coordinator) \"?([\\w,.-]+)\"?");

  /** Explains the request or job with the given id from the log lines of all processes. */
  public static Explanation of(String id, List<LogLine> lines) {
    List<LogLine> ownLines =
        lines.filter(l -> l.containsWord(id)).sorted(Comparator.comparing(LogLine::at)).toList();
    return new Explanation(ownLines, decidingLine(ownLines), relatedLines(ownLines, lines));
  }

  private static Option<LogLine> decidingLine(List<LogLine> ownLines) {
    Option<LogLine> successLine =
        ownLines.lastOption().filter(l -> SUCCESS_STATUS.matcher(l.text()).find());
    return successLine.orElse(() -> findOutcomeLine(ownLines));
  }

  private static Option<LogLine> findOutcomeLine(List<LogLine> ownLines) {
    return OUTCOME_EVENTS
        .toStream()
        .flatMap(e -> ownLines.findLast(l -> l.event() == e))
        .headOption();
  }

  private static List<LogLine> relatedLines(List<LogLine> ownLines, List<LogLine> lines) {
    if (ownLines.isEmpty()) {
      return List.empty();
    }
    Instant from = ownLines.head().at().minus(LOOKBACK);
    Instant to = ownLines.last().at().plus(CLOCK_SKEW);
    Set<String> names = ownLines.flatMap(Explanation::findNames).toSet();
    Set<String> processes = ownLines.map(LogLine::process).toSet();
    return lines
        .filter(l -> STATE_CHANGE_EVENTS.contains(l.event()) && !ownLines.contains(l))
        .filter(l -> !l.at().isBefore(from) && !l.at().isAfter(to))
        .filter(l -> processes.contains(l.process()) || names.exists(l.process()::startsWith))
        .filter(l -> !ENGINE_EVENTS.contains(l.event()) || names.exists(l::containsWord))
        .sorted(Comparator.comparing(LogLine::at))
        .toList();
  }

  private static List<String> findNames(LogLine line) {
    List<String> names = List.empty();
    Matcher matcher = NAME_PATTERN.matcher(line.text());
    while (matcher.find()) {
      names = names.appendAll(List.of(matcher.group(1).split(",")));
    }
    return names.filter(n -> !n.isEmpty());
  }
}
