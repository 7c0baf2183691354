package org.waxwingcourse.cli.report;

import java.util.Comparator;

/**
 * Identifies a series of event counts.
 *
 * @param objective the name of the objective in metrics
 * @param organisation the organisation whose requests are counted
 */
public record SeriesKey(String objective, String organisation) implements Comparable<SeriesKey> {
  private static final Comparator<SeriesKey> ORDER =
      Comparator.comparing(SeriesKey::objective).thenComparing(SeriesKey::organisation);

  @Override
  public int compareTo(SeriesKey other) {
    return ORDER.compare(this, other);
  }
}
