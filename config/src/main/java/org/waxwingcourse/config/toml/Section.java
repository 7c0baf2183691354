package org.waxwingcourse.config.toml;

import java.util.List;

/**
 * One table of a file, or one list of tables.
 *
 * @param name the table's name
 * @param repeated whether the file holds a list of such tables
 * @param meaning what the table is for
 * @param fields the names that the table may hold
 */
public record Section(String name, boolean repeated, String meaning, List<Field<?>> fields) {
  /** Copies the fields. */
  public Section {
    fields = List.copyOf(fields);
  }

  /** Returns a table that stands once in a file. */
  public static Section single(String name, String meaning, Field<?>... fields) {
    return new Section(name, false, meaning, List.of(fields));
  }

  /** Returns a list of tables. */
  public static Section list(String name, String meaning, Field<?>... fields) {
    return new Section(name, true, meaning, List.of(fields));
  }

  /** Returns the table's heading as a file writes it. */
  public String heading() {
    return repeated ? "[[" + name + "]]" : "[" + name + "]";
  }

  boolean isRequired() {
    return !repeated && fields.stream().anyMatch(f -> f.necessity() == Field.Necessity.REQUIRED);
  }
}
