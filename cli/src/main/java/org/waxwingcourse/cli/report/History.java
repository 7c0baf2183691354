package org.waxwingcourse.cli.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Samples of all nodes over time. Counters begin anew with each process, so increases are added up
 * node by node from one sample to the next. A node seen first in a later round has counted all
 * since the round before; in the very first round its counts are the starting point, unless there
 * is no other round.
 */
public final class History {
  private final Map<String, List<Sample>> byNode = new LinkedHashMap<>();
  private final SortedSet<Long> rounds = new TreeSet<>();

  private History() {}

  /** Returns the history with the given samples. */
  public static History of(List<Sample> samples) {
    History history = new History();
    samples.stream()
        .sorted(java.util.Comparator.comparingLong(Sample::atMillis))
        .forEach(history::add);
    return history;
  }

  /** Returns the times at which samples were taken, in order. */
  public SortedSet<Long> rounds() {
    return rounds;
  }

  /** Returns all series that any sample holds. */
  public SortedSet<Series> series() {
    SortedSet<Series> all = new TreeSet<>();
    byNode.values().stream()
        .flatMap(List::stream)
        .flatMap(sample -> sample.counts().stream())
        .forEach(count -> all.add(count.series()));
    return all;
  }

  /** Returns what was counted after {@code fromMillis} and up to {@code toMillis}. */
  public LevelCount increase(Series series, long fromMillis, long toMillis) {
    LevelCount sum = new LevelCount(series.objective(), series.organisation(), 0, 0);
    for (List<Sample> samples : byNode.values()) {
      sum = sum.plus(increase(series, samples, fromMillis, toMillis));
    }
    return sum;
  }

  private void add(Sample sample) {
    rounds.add(sample.atMillis());
    byNode.computeIfAbsent(sample.node(), node -> new ArrayList<>()).add(sample);
  }

  private LevelCount increase(Series series, List<Sample> samples, long fromMillis, long toMillis) {
    LevelCount none = new LevelCount(series.objective(), series.organisation(), 0, 0);
    LevelCount sum = none;
    Optional<LevelCount> before = Optional.empty();
    for (Sample sample : samples) {
      LevelCount count = sample.find(series).orElse(none);
      boolean inside = sample.atMillis() > fromMillis && sample.atMillis() <= toMillis;
      boolean start = before.isEmpty() && sample.atMillis() == rounds.first() && rounds.size() > 1;
      if (inside && !start) {
        sum = sum.plus(count.since(before.orElse(none)));
      }
      before = Optional.of(count);
    }
    return sum;
  }
}
