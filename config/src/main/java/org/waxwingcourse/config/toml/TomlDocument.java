package org.waxwingcourse.config.toml;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A TOML file that fits a schema: no unknown name, no wrong type, no value out of range. */
public final class TomlDocument {
  private static final TomlPosition START = TomlPosition.positionAt(1, 1);

  private final String file;
  private final TomlTable root;
  private final List<Section> schema;
  private final List<Problem> problems = new ArrayList<>();

  private TomlDocument(String file, TomlTable root, List<Section> schema) {
    this.file = file;
    this.root = root;
    this.schema = schema;
  }

  /** Reads a file and checks it; the problems come in the order of the file. */
  public static Either<List<Problem>, TomlDocument> read(Path path, List<Section> schema) {
    try {
      return parse(path.toString(), Files.readString(path), schema);
    } catch (IOException e) {
      return Either.left(List.of(new Problem(path.toString(), 1, 1, "cannot be read: " + e)));
    }
  }

  /** Checks a text that was read from {@code file}. */
  public static Either<List<Problem>, TomlDocument> parse(
      String file, String text, List<Section> schema) {
    TomlParseResult result = Toml.parse(text);
    if (result.hasErrors()) {
      return Either.left(
          result.errors().stream()
              .map(e -> problem(file, e.position(), e.getMessage()))
              .sorted()
              .toList());
    }
    TomlDocument document = new TomlDocument(file, result, schema);
    document.check();
    List<Problem> found = document.problems.stream().sorted().toList();
    return found.isEmpty() ? Either.right(document) : Either.left(found);
  }

  /** Returns the table of a section that stands once, empty where the file lacks it. */
  public CheckedTable table(Section section) {
    TomlTable table = root.getTable(List.of(section.name()));
    TomlPosition at = root.inputPositionOf(List.of(section.name()));
    return new CheckedTable(file, table == null ? Toml.parse("") : table, at == null ? START : at);
  }

  /** Returns the tables of a repeated section in the order of the file. */
  public List<CheckedTable> tables(Section section) {
    TomlArray array = root.getArray(List.of(section.name()));
    List<CheckedTable> tables = new ArrayList<>();
    for (int i = 0; array != null && i < array.size(); i++) {
      tables.add(new CheckedTable(file, array.getTable(i), array.inputPositionOf(i)));
    }
    return tables;
  }

  private void check() {
    for (String name : root.keySet()) {
      if (schema.stream().noneMatch(s -> s.name().equals(name))) {
        String known = schema.stream().map(Section::heading).collect(Collectors.joining(", "));
        report(
            root.inputPositionOf(List.of(name)),
            "unknown name \"" + name + "\"; known are " + known);
      }
    }
    schema.forEach(this::checkSection);
  }

  private void checkSection(Section section) {
    Object raw = root.get(List.of(section.name()));
    TomlPosition at = root.inputPositionOf(List.of(section.name()));
    if (raw == null) {
      if (section.isRequired()) {
        report(START, "table " + section.heading() + " is missing");
      }
      return;
    }
    if (section.repeated() && raw instanceof TomlArray array && holdsTables(array)) {
      for (int i = 0; i < array.size(); i++) {
        checkTable(section, array.getTable(i), array.inputPositionOf(i));
      }
    } else if (!section.repeated() && raw instanceof TomlTable table) {
      checkTable(section, table, at);
    } else {
      report(at, "\"" + section.name() + "\" must be written as " + section.heading());
    }
  }

  private static boolean holdsTables(TomlArray array) {
    return array.toList().stream().allMatch(TomlTable.class::isInstance);
  }

  private void checkTable(Section section, TomlTable table, TomlPosition at) {
    for (String name : table.keySet()) {
      if (section.fields().stream().noneMatch(f -> f.name().equals(name))) {
        String known = section.fields().stream().map(Field::name).collect(Collectors.joining(", "));
        report(
            table.inputPositionOf(List.of(name)),
            "unknown name \"" + name + "\" in " + section.heading() + "; known are " + known);
      }
    }
    section.fields().forEach(field -> checkField(section, table, at, field));
  }

  private void checkField(Section section, TomlTable table, TomlPosition at, Field<?> field) {
    Object raw = table.get(List.of(field.name()));
    if (raw == null) {
      if (field.necessity() == Field.Necessity.REQUIRED) {
        report(
            at,
            "\""
                + field.name()
                + "\" is missing in "
                + section.heading()
                + "; give a "
                + field.form());
      }
      return;
    }
    field
        .parser()
        .apply(raw)
        .peekLeft(
            bad ->
                report(
                    table.inputPositionOf(List.of(field.name())),
                    "\"" + field.name() + "\" must be " + field.form() + ", not " + bad));
  }

  private void report(TomlPosition at, String message) {
    problems.add(problem(file, at == null ? START : at, message));
  }

  private static Problem problem(String file, TomlPosition at, String message) {
    return new Problem(file, at.line(), at.column(), message);
  }
}
