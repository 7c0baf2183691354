package org.waxwingcourse.cli.report;

import java.util.List;
import java.util.Optional;

/**
 * The counters of one node at one point in time.
 *
 * @param atMillis the time of the sampling round, milliseconds since 1970
 * @param node the operator address of the node
 * @param counts one count for each objective and organisation
 */
public record Sample(long atMillis, String node, List<EventCount> counts) {
  /** Makes an unmodifiable copy of the counts. */
  public Sample {
    counts = List.copyOf(counts);
  }

  Optional<EventCount> find(SeriesKey series) {
    return counts.stream().filter(count -> count.series().equals(series)).findFirst();
  }
}
