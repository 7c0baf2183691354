package org.waxwingcourse.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.config.declaration.DeclarationSchema;
import org.waxwingcourse.config.settings.NodeSchema;
import org.waxwingcourse.config.toml.Reference;
import org.waxwingcourse.config.toml.Section;

/** Verifies that the reference pages in docs end with the generated text of their schemas. */
class ReferenceTest {
  static Stream<Arguments> pages() {
    return Stream.of(
        Arguments.of("SETTINGS.md", NodeSchema.sections()),
        Arguments.of("DECLARATIONS.md", DeclarationSchema.sections()));
  }

  @ParameterizedTest
  @MethodSource("pages")
  void referencePageMatchesSchema(String pageName, List<Section> schema) throws IOException {
    String text = Files.readString(Path.of("..", "docs", pageName));
    assertThat(text).endsWith(Reference.markdown(schema));
  }
}
