package org.waxwingcourse.cli.report;

import java.util.Comparator;

/**
 * What a counter counts.
 *
 * @param objective wire name of the objective
 * @param organisation whose requests
 */
public record Series(String objective, String organisation) implements Comparable<Series> {
  private static final Comparator<Series> ORDER =
      Comparator.comparing(Series::objective).thenComparing(Series::organisation);

  @Override
  public int compareTo(Series other) {
    return ORDER.compare(this, other);
  }
}
