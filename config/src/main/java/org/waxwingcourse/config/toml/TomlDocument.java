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

/**
 * A TOML document that conforms to a schema: it has no unknown names and no missing fields, and
 * each value has the type and range of its field.
 */
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

  /** Reads and validates a file; problems are returned in the order of their positions. */
  public static Either<List<Problem>, TomlDocument> read(Path path, List<Section> schema) {
    try {
      return parse(path.toString(), Files.readString(path), schema);
    } catch (IOException e) {
      return Either.left(List.of(new Problem(path.toString(), 1, 1, "cannot be read: " + e)));
    }
  }

  /** Parses and validates the text of {@code file}; problems are ordered by position. */
  public static Either<List<Problem>, TomlDocument> parse(
      String file, String text, List<Section> schema) {
    TomlParseResult result = Toml.parse(text);
    if (result.hasErrors()) {
      return Either.left(
          result.errors().stream()
              .map(e -> createProblem(file, e.position(), e.getMessage()))
              .sorted()
              .toList());
    }
    TomlDocument document = new TomlDocument(file, result, schema);
    document.checkSections();
    List<Problem> found = document.problems.stream().sorted().toList();
    return found.isEmpty() ? Either.right(document) : Either.left(found);
  }

  /** Returns the table of a single section, or an empty table if the file has none. */
  public CheckedTable table(Section section) {
    TomlTable table = root.getTable(List.of(section.name()));
    TomlPosition position = root.inputPositionOf(List.of(section.name()));
    return new CheckedTable(
        file, table == null ? Toml.parse("") : table, position == null ? START : position);
  }

  /** Returns the tables of a repeated section in file order. */
  public List<CheckedTable> tables(Section section) {
    TomlArray array = root.getArray(List.of(section.name()));
    List<CheckedTable> tables = new ArrayList<>();
    for (int i = 0; array != null && i < array.size(); i++) {
      tables.add(new CheckedTable(file, array.getTable(i), array.inputPositionOf(i)));
    }
    return tables;
  }

  private void checkSections() {
    for (String name : root.keySet()) {
      if (schema.stream().noneMatch(s -> s.name().equals(name))) {
        String knownNames = schema.stream().map(Section::heading).collect(Collectors.joining(", "));
        addProblem(
            root.inputPositionOf(List.of(name)),
            "unknown name \"" + name + "\"; expected one of " + knownNames);
      }
    }
    schema.forEach(this::checkSection);
  }

  private void checkSection(Section section) {
    Object raw = root.get(List.of(section.name()));
    TomlPosition position = root.inputPositionOf(List.of(section.name()));
    if (raw == null) {
      if (section.isRequired()) {
        addProblem(START, "table " + section.heading() + " is missing");
      }
      return;
    }
    if (section.repeated() && raw instanceof TomlArray array && containsOnlyTables(array)) {
      for (int i = 0; i < array.size(); i++) {
        checkTable(section, array.getTable(i), array.inputPositionOf(i));
      }
    } else if (!section.repeated() && raw instanceof TomlTable table) {
      checkTable(section, table, position);
    } else {
      addProblem(position, "\"" + section.name() + "\" must be written as " + section.heading());
    }
  }

  private static boolean containsOnlyTables(TomlArray array) {
    return array.toList().stream().allMatch(TomlTable.class::isInstance);
  }

  private void checkTable(Section section, TomlTable table, TomlPosition position) {
    for (String name : table.keySet()) {
      if (section.fields().stream().noneMatch(f -> f.name().equals(name))) {
        String knownNames =
            section.fields().stream().map(Field::name).collect(Collectors.joining(", "));
        addProblem(
            table.inputPositionOf(List.of(name)),
            "unknown name \""
                + name
                + "\" in "
                + section.heading()
                + "; expected one of "
                + knownNames);
      }
    }
    section.fields().forEach(field -> checkField(section, table, position, field));
  }

  private void checkField(Section section, TomlTable table, TomlPosition position, Field<?> field) {
    Object raw = table.get(List.of(field.name()));
    if (raw == null) {
      if (field.presence() == Field.Presence.REQUIRED) {
        addProblem(
            position,
            "\""
                + field.name()
                + "\" is missing in "
                + section.heading()
                + "; expected "
                + field.expectedForm());
      }
      return;
    }
    field
        .parser()
        .apply(raw)
        .peekLeft(
            rejected ->
                addProblem(
                    table.inputPositionOf(List.of(field.name())),
                    "\""
                        + field.name()
                        + "\" must be "
                        + field.expectedForm()
                        + ", not "
                        + rejected));
  }

  private void addProblem(TomlPosition position, String message) {
    problems.add(createProblem(file, position == null ? START : position, message));
  }

  private static Problem createProblem(String file, TomlPosition position, String message) {
    return new Problem(file, position.line(), position.column(), message);
  }
}
