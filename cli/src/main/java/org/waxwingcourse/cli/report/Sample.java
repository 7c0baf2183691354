package org.waxwingcourse.cli.report;

import java.util.List;
import java.util.Optional;

/**
 * The counters of one node at one time.
 *
 * @param atMillis when the round of samples was taken, milliseconds since 1970
 * @param node operators' address of the node
 * @param counts one for each objective and organisation
 */
public record Sample(long atMillis, String node, List<LevelCount> counts) {
  /** Copies the counts. */
  public Sample {
    counts = List.copyOf(counts);
  }

  Optional<LevelCount> find(Series series) {
    return counts.stream().filter(count -> count.series().equals(series)).findFirst();
  }
}
