package org.waxwingcourse.model.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that {@link Event} and the catalogue in docs/EVENTS.md list the same events. */
class EventCatalogueTest {
  private static final Path CATALOGUE = Path.of("..", "docs", "EVENTS.md");
  private static final Pattern ROW =
      Pattern.compile("^\\| W(\\d+) \\| (\\w+) \\| (\\w+) \\| .+ \\|$");

  @Test
  void catalogueAndEnumListTheSameEvents() throws IOException {
    List<String> catalogued =
        Files.readAllLines(CATALOGUE).stream()
            .map(ROW::matcher)
            .filter(Matcher::matches)
            .map(m -> m.group(1) + " " + m.group(2) + " " + m.group(3))
            .toList();
    List<String> declared =
        Arrays.stream(Event.values())
            .map(e -> e.number() + " " + e.name() + " " + e.level())
            .toList();
    assertThat(catalogued).containsExactlyElementsOf(declared);
  }

  @Test
  void numbersAreUnique() {
    assertThat(Arrays.stream(Event.values()).map(Event::number)).doesNotHaveDuplicates();
  }
}
