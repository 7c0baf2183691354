package org.waxwingcourse.config.toml;

import java.util.List;

/** Generates the reference documentation of a schema. */
public final class Reference {
  private Reference() {}

  /** Returns the schema as Markdown, with a heading and a table for each section. */
  public static String markdown(List<Section> schema) {
    StringBuilder text = new StringBuilder();
    schema.forEach(section -> append(text, section));
    return text.toString();
  }

  private static void append(StringBuilder text, Section section) {
    text.append("\n## `").append(section.heading()).append("`\n\n");
    text.append(section.description()).append("\n\n");
    text.append("| name | value | default | meaning |\n|---|---|---|---|\n");
    section.fields().forEach(field -> append(text, field));
  }

  private static void append(StringBuilder text, Field<?> field) {
    String defaultText =
        switch (field.presence()) {
          case REQUIRED -> "required";
          case OPTIONAL -> "none";
          case DEFAULTED -> String.valueOf(field.defaultValue().get());
          default -> throw new IllegalStateException(field.name());
        };
    text.append("| `")
        .append(field.name())
        .append("` | ")
        .append(field.expectedForm())
        .append(" | ");
    text.append(defaultText).append(" | ").append(field.description()).append(" |\n");
  }
}
