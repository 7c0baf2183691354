package org.waxwingcourse.config.toml;

import java.util.List;

/**
 * The schema of a top-level TOML table, or of an array of tables.
 *
 * @param name the key of the table
 * @param repeated whether the section is an array of tables
 * @param description what the section configures
 * @param fields the fields that the table may contain
 */
public record Section(String name, boolean repeated, String description, List<Field<?>> fields) {
  /** Makes an unmodifiable copy of the fields. */
  public Section {
    fields = List.copyOf(fields);
  }

  /** Returns a section that occurs at most once in a file. */
  public static Section single(String name, String description, Field<?>... fields) {
    return new Section(name, false, description, List.of(fields));
  }

  /** Returns a section that is an array of tables. */
  public static Section list(String name, String description, Field<?>... fields) {
    return new Section(name, true, description, List.of(fields));
  }

  /** Returns the header of the section in TOML syntax. */
  public String heading() {
    return repeated ? "[[" + name + "]]" : "[" + name + "]";
  }

  boolean isRequired() {
    return !repeated && fields.stream().anyMatch(f -> f.presence() == Field.Presence.REQUIRED);
  }
}
