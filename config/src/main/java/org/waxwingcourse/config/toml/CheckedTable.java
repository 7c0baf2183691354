package org.waxwingcourse.config.toml;

import io.vavr.control.Option;
import java.util.List;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A TOML table that has been validated against the schema of its section. */
public final class CheckedTable {
  private final String file;
  private final TomlTable table;
  private final TomlPosition position;

  CheckedTable(String file, TomlTable table, TomlPosition position) {
    this.file = file;
    this.table = table;
    this.position = position;
  }

  /** Returns the value of a field that is required or has a default value. */
  public <T> T get(Field<T> field) {
    return find(field)
        .getOrElseThrow(() -> new IllegalStateException(field.name() + " has no value"));
  }

  /** Returns the value of a field, or its default value if any, or none. */
  public <T> Option<T> find(Field<T> field) {
    Object raw = table.get(List.of(field.name()));
    return raw == null ? field.defaultValue() : Option.some(field.parser().apply(raw).get());
  }

  /** Returns a problem at the position of a field, or of the table if the field is absent. */
  public Problem problemAt(Field<?> field, String message) {
    TomlPosition at = table.inputPositionOf(List.of(field.name()));
    TomlPosition reported = at == null ? position : at;
    return new Problem(file, reported.line(), reported.column(), message);
  }
}
