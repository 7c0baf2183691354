package org.waxwingcourse.standin.plain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Counts the runs of a service by path and by idempotency key. */
final class RunCounter {
  private final Map<String, Integer> runsByPath = new LinkedHashMap<>();
  private final Map<String, Integer> runsByKey = new LinkedHashMap<>();
  private final boolean repeatable;

  RunCounter(boolean repeatable) {
    this.repeatable = repeatable;
  }

  /** The number of runs of one path or key. */
  record Count(String name, int runs) {}

  /** The numbers of runs of all paths and keys. */
  record Counts(List<Count> paths, List<Count> keys) {}

  /**
   * Counts a call. A repeatable service runs once for each key and then repeats its response.
   *
   * @return the number of runs of the key, or of the path for a call without a key
   */
  synchronized int countRun(String path, String key) {
    int pathRuns = runsByPath.merge(path, 1, Integer::sum);
    if (key == null) {
      return pathRuns;
    }
    return runsByKey.merge(key, 1, (old, one) -> repeatable ? old : old + one);
  }

  synchronized int runsOfKey(String key) {
    return runsByKey.getOrDefault(key, 0);
  }

  synchronized Counts counts() {
    return new Counts(toCounts(runsByPath), toCounts(runsByKey));
  }

  private static List<Count> toCounts(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .map(entry -> new Count(entry.getKey(), entry.getValue()))
        .toList();
  }
}
