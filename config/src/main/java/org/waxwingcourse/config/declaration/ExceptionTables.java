package org.waxwingcourse.config.declaration;

import static org.waxwingcourse.config.declaration.DeclarationSchema.BURST;
import static org.waxwingcourse.config.declaration.DeclarationSchema.ENGINE_SLOTS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.EXCEPTION_ENGINE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.EXCEPTION_ORGANISATION;
import static org.waxwingcourse.config.declaration.DeclarationSchema.RATE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.REASON;
import static org.waxwingcourse.config.declaration.DeclarationSchema.SETTING;
import static org.waxwingcourse.config.declaration.DeclarationSchema.VALUE;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.config.toml.CheckedTable;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Problem;
import org.waxwingcourse.model.fleet.DeclaredException;
import org.waxwingcourse.model.fleet.Rate;

/** The {@code [[exception]]} tables of one declarations file. */
final class ExceptionTables {
  private static final List<Field<?>> ORGANISATION_SETTINGS = List.of(RATE, BURST);
  private static final List<Field<?>> ENGINE_SETTINGS = List.of(ENGINE_SLOTS);

  private final List<CheckedTable> tables;

  private ExceptionTables(List<CheckedTable> tables) {
    this.tables = tables;
  }

  static ExceptionTables of(List<CheckedTable> tables) {
    return new ExceptionTables(tables);
  }

  List<Problem> validate(Set<String> organisations, Set<String> engines) {
    List<Problem> problems = new ArrayList<>();
    Set<String> seenSettings = new HashSet<>();
    for (CheckedTable table : tables) {
      checkTarget(table, organisations, engines).peek(problems::add);
      checkValue(table).peek(problems::add);
      if (!seenSettings.add(targetName(table) + " " + table.get(SETTING))) {
        problems.add(
            table.problemAt(
                SETTING,
                "a second exception for " + targetName(table) + " conflicts with the first"));
      }
    }
    return problems;
  }

  Rate effectiveRate(String organisation, Rate defaultValue) {
    double perSecond =
        findValue(EXCEPTION_ORGANISATION, organisation, RATE).getOrElse(defaultValue.perSecond());
    int burst =
        findValue(EXCEPTION_ORGANISATION, organisation, BURST).getOrElse(defaultValue.burst());
    return Rate.of(perSecond, burst);
  }

  int effectiveSlots(String engine, int defaultValue) {
    return findValue(EXCEPTION_ENGINE, engine, ENGINE_SLOTS).getOrElse(defaultValue);
  }

  List<DeclaredException> toDeclaredExceptions() {
    return tables.stream()
        .map(t -> new DeclaredException(targetName(t), t.get(SETTING), t.get(VALUE), t.get(REASON)))
        .toList();
  }

  private <T> Option<T> findValue(Field<String> kind, String name, Field<T> field) {
    return Option.ofOptional(
        tables.stream()
            .filter(t -> t.find(kind).contains(name))
            .filter(t -> t.get(SETTING).equals(field.name()))
            .map(t -> parseValue(field, t.get(VALUE)).get())
            .findFirst());
  }

  private static Option<Problem> checkTarget(
      CheckedTable table, Set<String> organisations, Set<String> engines) {
    Option<String> organisation = table.find(EXCEPTION_ORGANISATION);
    Option<String> engine = table.find(EXCEPTION_ENGINE);
    if (organisation.isDefined() == engine.isDefined()) {
      String message = "an exception must name either an \"organisation\" or an \"engine\"";
      return Option.some(table.problemAt(EXCEPTION_ENGINE, message));
    }
    boolean isDeclared =
        organisation.map(organisations::contains).getOrElse(false)
            || engine.map(engines::contains).getOrElse(false);
    Field<String> field = organisation.isDefined() ? EXCEPTION_ORGANISATION : EXCEPTION_ENGINE;
    return isDeclared
        ? Option.none()
        : Option.some(table.problemAt(field, targetName(table) + " is not declared"));
  }

  private static Option<Problem> checkValue(CheckedTable table) {
    List<Field<?>> allowed =
        table.find(EXCEPTION_ORGANISATION).isDefined() ? ORGANISATION_SETTINGS : ENGINE_SETTINGS;
    String setting = table.get(SETTING);
    Option<Field<?>> field =
        Option.ofOptional(allowed.stream().filter(f -> f.name().equals(setting)).findFirst());
    if (field.isEmpty()) {
      String settingNames = String.join(", ", allowed.stream().map(Field::name).toList());
      return Option.some(
          table.problemAt(
              SETTING,
              "\""
                  + setting
                  + "\" cannot be set for "
                  + targetName(table)
                  + "; expected one of "
                  + settingNames));
    }
    return parseValue(field.get(), table.get(VALUE)).isRight()
        ? Option.none()
        : Option.some(
            table.problemAt(
                VALUE,
                "\""
                    + setting
                    + "\" must be "
                    + field.get().expectedForm()
                    + ", not "
                    + table.get(VALUE)));
  }

  private static <T> Either<String, T> parseValue(Field<T> field, String value) {
    return field.parser().apply(parseNumber(value));
  }

  private static Object parseNumber(String value) {
    try {
      return Long.valueOf(value);
    } catch (NumberFormatException notInteger) {
      try {
        return Double.valueOf(value);
      } catch (NumberFormatException notNumber) {
        return value;
      }
    }
  }

  private static String targetName(CheckedTable table) {
    return table
        .find(EXCEPTION_ORGANISATION)
        .map(o -> "organisation \"" + o + "\"")
        .getOrElse(() -> "engine \"" + table.find(EXCEPTION_ENGINE).getOrElse("") + "\"");
  }
}
