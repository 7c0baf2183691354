package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks reads of results over time. A result that was read once must be in every later read,
 * unchanged, and in the end each item must have exactly one result.
 */
final class ResultHistory {
  private static final Pattern CUSTOM_ID = Pattern.compile("\"custom_id\":\"([^\"]*)\"");

  private final Map<String, String> seenLines = new HashMap<>();

  /** Records a read of all results and checks it against the earlier reads. */
  void recordRead(List<String> lines) {
    Map<String, String> currentLines = new HashMap<>();
    for (String line : lines) {
      Matcher match = CUSTOM_ID.matcher(line);
      assertThat(match.find()).as("result without custom_id: %s", line).isTrue();
      String earlierLine = currentLines.put(match.group(1), line);
      assertThat(earlierLine).as("second result of %s", match.group(1)).isNull();
    }
    seenLines.forEach(
        (id, line) ->
            assertThat(currentLines.get(id)).as("result of %s later", id).isEqualTo(line));
    seenLines.putAll(currentLines);
  }

  /** Requires that {@code items} items have a result. */
  void requireResults(int items) {
    assertThat(seenLines).as("items with a result").hasSize(items);
  }

  String resultOf(String item) {
    return seenLines.getOrDefault(item, "");
  }

  int countContaining(String text) {
    return (int) seenLines.values().stream().filter(line -> line.contains(text)).count();
  }

  int size() {
    return seenLines.size();
  }
}
