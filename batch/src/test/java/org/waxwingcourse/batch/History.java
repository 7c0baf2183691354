package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checker of what was read over time: a result that was seen once is seen ever after, unchanged,
 * and in the end each item has exactly one.
 */
final class History {
  private static final Pattern CUSTOM_ID = Pattern.compile("\"custom_id\":\"([^\"]*)\"");

  private final Map<String, String> seen = new HashMap<>();

  /** Records one read of all results. */
  void read(List<String> lines) {
    Map<String, String> now = new HashMap<>();
    for (String line : lines) {
      Matcher m = CUSTOM_ID.matcher(line);
      assertThat(m.find()).as("result without custom_id: %s", line).isTrue();
      String before = now.put(m.group(1), line);
      assertThat(before).as("second result of %s", m.group(1)).isNull();
    }
    seen.forEach(
        (id, line) -> assertThat(now.get(id)).as("result of %s later", id).isEqualTo(line));
    seen.putAll(now);
  }

  /** Requires one result for each of the items. */
  void complete(int items) {
    assertThat(seen).as("items with a result").hasSize(items);
  }

  String of(String item) {
    return seen.getOrDefault(item, "");
  }

  int countOf(String text) {
    return (int) seen.values().stream().filter(line -> line.contains(text)).count();
  }

  int size() {
    return seen.size();
  }
}
