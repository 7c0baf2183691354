package org.waxwingcourse.cli.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The samples of all nodes over time. Counters restart at zero with each process, so increases are
 * summed for each node from one sample to the next. If a node first appears in a later sampling
 * round, its counts are taken as an increase since the round before. In the first round its counts
 * are the baseline, unless there is no other round.
 */
public final class SampleHistory {
  private final Map<String, List<Sample>> byNode = new LinkedHashMap<>();
  private final SortedSet<Long> sampleTimes = new TreeSet<>();

  private SampleHistory() {}

  /** Returns a history of the given samples. */
  public static SampleHistory of(List<Sample> samples) {
    SampleHistory history = new SampleHistory();
    samples.stream()
        .sorted(java.util.Comparator.comparingLong(Sample::atMillis))
        .forEach(history::add);
    return history;
  }

  /** Returns the times of the sampling rounds in ascending order, milliseconds since the epoch. */
  public SortedSet<Long> sampleTimes() {
    return sampleTimes;
  }

  /** Returns the keys of all series in the samples. */
  public SortedSet<SeriesKey> series() {
    SortedSet<SeriesKey> all = new TreeSet<>();
    byNode.values().stream()
        .flatMap(List::stream)
        .flatMap(sample -> sample.counts().stream())
        .forEach(count -> all.add(count.series()));
    return all;
  }

  /** Returns the events counted after {@code fromMillis} and up to {@code toMillis}. */
  public EventCount increase(SeriesKey series, long fromMillis, long toMillis) {
    EventCount sum = new EventCount(series.objective(), series.organisation(), 0, 0);
    for (List<Sample> samples : byNode.values()) {
      sum = sum.plus(increase(series, samples, fromMillis, toMillis));
    }
    return sum;
  }

  private void add(Sample sample) {
    sampleTimes.add(sample.atMillis());
    byNode.computeIfAbsent(sample.node(), node -> new ArrayList<>()).add(sample);
  }

  private EventCount increase(
      SeriesKey series, List<Sample> samples, long fromMillis, long toMillis) {
    EventCount zero = new EventCount(series.objective(), series.organisation(), 0, 0);
    EventCount sum = zero;
    Optional<EventCount> previous = Optional.empty();
    for (Sample sample : samples) {
      EventCount count = sample.find(series).orElse(zero);
      boolean isInWindow = sample.atMillis() > fromMillis && sample.atMillis() <= toMillis;
      boolean isBaseline =
          previous.isEmpty() && sample.atMillis() == sampleTimes.first() && sampleTimes.size() > 1;
      if (isInWindow && !isBaseline) {
        sum = sum.plus(count.since(previous.orElse(zero)));
      }
      previous = Optional.of(count);
    }
    return sum;
  }
}
