package org.waxwingcourse.config.toml;

import java.util.List;

/** Writes the reference of a schema for the docs. */
public final class Reference {
  private Reference() {}

  /** Returns the sections as Markdown: a heading and a table for each. */
  public static String markdown(List<Section> schema) {
    StringBuilder text = new StringBuilder();
    schema.forEach(section -> append(text, section));
    return text.toString();
  }

  private static void append(StringBuilder text, Section section) {
    text.append("\n## `").append(section.heading()).append("`\n\n");
    text.append(section.meaning()).append("\n\n");
    text.append("| name | value | default | meaning |\n|---|---|---|---|\n");
    section.fields().forEach(field -> append(text, field));
  }

  private static void append(StringBuilder text, Field<?> field) {
    String fallback =
        switch (field.necessity()) {
          case REQUIRED -> "required";
          case OPTIONAL -> "none";
          case DEFAULTED -> String.valueOf(field.fallback().get());
          default -> throw new IllegalStateException(field.name());
        };
    text.append("| `").append(field.name()).append("` | ").append(field.form()).append(" | ");
    text.append(fallback).append(" | ").append(field.meaning()).append(" |\n");
  }
}
