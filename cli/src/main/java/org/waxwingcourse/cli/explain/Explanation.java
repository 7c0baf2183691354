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
 * What happened to one request or job: its own lines in order of time, the line that decided its
 * end, and what the hosts it met came to believe meanwhile.
 *
 * @param own the lines that name it
 * @param deciding the line that tells why it ended as it did, none if no line does
 * @param around what the hosts it met came to believe, close in time
 */
public record Explanation(List<LogLine> own, Option<LogLine> deciding, List<LogLine> around) {
  /**
   * Events that settle a request or a job, the most telling first: a refusal with its inputs says
   * more than the closing line that repeats it.
   */
  private static final List<Integer> SETTLING =
      List.of(801, 505, 800, 803, 802, 611, 612, 618, 616, 615, 620, 622, 617, 613, 610);

  /** The end of the closing line of a request that an engine answered with success. */
  private static final Pattern SERVED = Pattern.compile(": status 2\\d\\d$");

  /** Events that change what a process believes about hosts, engines, configuration or store. */
  private static final Set<Integer> BELIEFS =
      HashSet.of(100, 101, 102, 203, 204, 207, 430, 431, 433, 434, 500, 503, 504, 700);

  /** Those of them that concern one engine. */
  private static final Set<Integer> ABOUT_ENGINES = HashSet.of(500, 503, 504);

  /** How long before a request's first line a change may have led to its end. */
  private static final Duration BEFORE = Duration.ofSeconds(3);

  /** Clocks of hosts may differ by this much. */
  private static final Duration CLOCK_SKEW = Duration.ofMillis(500);

  /** Names of engines and hosts as the lines of a request give them. */
  private static final Pattern NAMED =
      Pattern.compile("(?:engines?|host|runner|coordinator) \"?([\\w,.-]+)\"?");

  /** Explains what {@code id} names, from the lines of all processes. */
  public static Explanation of(String id, List<LogLine> lines) {
    List<LogLine> own =
        lines.filter(l -> l.names(id)).sorted(Comparator.comparing(LogLine::at)).toList();
    return new Explanation(own, deciding(own), around(own, lines));
  }

  private static Option<LogLine> deciding(List<LogLine> own) {
    Option<LogLine> served = own.lastOption().filter(l -> SERVED.matcher(l.text()).find());
    return served.orElse(() -> settling(own));
  }

  private static Option<LogLine> settling(List<LogLine> own) {
    return SETTLING.toStream().flatMap(e -> own.findLast(l -> l.event() == e)).headOption();
  }

  private static List<LogLine> around(List<LogLine> own, List<LogLine> lines) {
    if (own.isEmpty()) {
      return List.empty();
    }
    Instant from = own.head().at().minus(BEFORE);
    Instant to = own.last().at().plus(CLOCK_SKEW);
    Set<String> names = own.flatMap(Explanation::named).toSet();
    Set<String> processes = own.map(LogLine::process).toSet();
    return lines
        .filter(l -> BELIEFS.contains(l.event()) && !own.contains(l))
        .filter(l -> !l.at().isBefore(from) && !l.at().isAfter(to))
        .filter(l -> processes.contains(l.process()) || names.exists(l.process()::startsWith))
        .filter(l -> !ABOUT_ENGINES.contains(l.event()) || names.exists(l::names))
        .sorted(Comparator.comparing(LogLine::at))
        .toList();
  }

  private static List<String> named(LogLine line) {
    List<String> names = List.empty();
    Matcher matcher = NAMED.matcher(line.text());
    while (matcher.find()) {
      names = names.appendAll(List.of(matcher.group(1).split(",")));
    }
    return names.filter(n -> !n.isEmpty());
  }
}
