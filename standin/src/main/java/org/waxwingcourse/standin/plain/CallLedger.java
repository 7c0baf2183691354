package org.waxwingcourse.standin.plain;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Counts what a service has run, by path and by idempotency key. */
final class CallLedger {
  private final Map<String, Integer> byPath = new LinkedHashMap<>();
  private final Map<String, Integer> byKey = new LinkedHashMap<>();
  private final boolean repeatable;

  CallLedger(boolean repeatable) {
    this.repeatable = repeatable;
  }

  /** How often something has run. */
  record Count(String name, int runs) {}

  /** All counts. */
  record Counts(List<Count> paths, List<Count> keys) {}

  /**
   * Notes a run; a repeatable service runs once for each key and then repeats its answer.
   *
   * @return how often the key has run, or the path for a call without key
   */
  synchronized int run(String path, String key) {
    int ofPath = byPath.merge(path, 1, Integer::sum);
    if (key == null) {
      return ofPath;
    }
    return byKey.merge(key, 1, (old, one) -> repeatable ? old : old + one);
  }

  synchronized int runsOfKey(String key) {
    return byKey.getOrDefault(key, 0);
  }

  synchronized Counts counts() {
    return new Counts(listOf(byPath), listOf(byKey));
  }

  private static List<Count> listOf(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .map(entry -> new Count(entry.getKey(), entry.getValue()))
        .toList();
  }
}
