package org.waxwingcourse.config.declaration;

import static org.waxwingcourse.config.declaration.DeclarationSchema.BURST;
import static org.waxwingcourse.config.declaration.DeclarationSchema.FOR_ENGINE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.FOR_ORGANISATION;
import static org.waxwingcourse.config.declaration.DeclarationSchema.RATE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.REASON;
import static org.waxwingcourse.config.declaration.DeclarationSchema.SETTING;
import static org.waxwingcourse.config.declaration.DeclarationSchema.SLOTS;
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

/** The exceptions of one declarations file. */
final class Exceptions {
  private static final List<Field<?>> OF_ORGANISATION = List.of(RATE, BURST);
  private static final List<Field<?>> OF_ENGINE = List.of(SLOTS);

  private final List<CheckedTable> tables;

  private Exceptions(List<CheckedTable> tables) {
    this.tables = tables;
  }

  static Exceptions of(List<CheckedTable> tables) {
    return new Exceptions(tables);
  }

  List<Problem> check(Set<String> organisations, Set<String> engines) {
    List<Problem> problems = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (CheckedTable table : tables) {
      checkTarget(table, organisations, engines).peek(problems::add);
      checkValue(table).peek(problems::add);
      if (!seen.add(target(table) + " " + table.get(SETTING))) {
        problems.add(
            table.problemAt(
                SETTING, "a second exception for " + target(table) + " contradicts the first"));
      }
    }
    return problems;
  }

  Rate rateOf(String organisation, Rate fallback) {
    double perSecond = value(FOR_ORGANISATION, organisation, RATE).getOrElse(fallback.perSecond());
    int burst = value(FOR_ORGANISATION, organisation, BURST).getOrElse(fallback.burst());
    return Rate.of(perSecond, burst);
  }

  int slotsOf(String engine, int fallback) {
    return value(FOR_ENGINE, engine, SLOTS).getOrElse(fallback);
  }

  List<DeclaredException> declared() {
    return tables.stream()
        .map(t -> new DeclaredException(target(t), t.get(SETTING), t.get(VALUE), t.get(REASON)))
        .toList();
  }

  private <T> Option<T> value(Field<String> kind, String name, Field<T> field) {
    return Option.ofOptional(
        tables.stream()
            .filter(t -> t.find(kind).contains(name))
            .filter(t -> t.get(SETTING).equals(field.name()))
            .map(t -> parse(field, t.get(VALUE)).get())
            .findFirst());
  }

  private static Option<Problem> checkTarget(
      CheckedTable table, Set<String> organisations, Set<String> engines) {
    Option<String> organisation = table.find(FOR_ORGANISATION);
    Option<String> engine = table.find(FOR_ENGINE);
    if (organisation.isDefined() == engine.isDefined()) {
      String message = "an exception names either an \"organisation\" or an \"engine\"";
      return Option.some(table.problemAt(FOR_ENGINE, message));
    }
    boolean known =
        organisation.map(organisations::contains).getOrElse(false)
            || engine.map(engines::contains).getOrElse(false);
    Field<String> field = organisation.isDefined() ? FOR_ORGANISATION : FOR_ENGINE;
    return known
        ? Option.none()
        : Option.some(table.problemAt(field, target(table) + " is not declared"));
  }

  private static Option<Problem> checkValue(CheckedTable table) {
    List<Field<?>> allowed = table.find(FOR_ORGANISATION).isDefined() ? OF_ORGANISATION : OF_ENGINE;
    String setting = table.get(SETTING);
    Option<Field<?>> field =
        Option.ofOptional(allowed.stream().filter(f -> f.name().equals(setting)).findFirst());
    if (field.isEmpty()) {
      String known = String.join(", ", allowed.stream().map(Field::name).toList());
      return Option.some(
          table.problemAt(
              SETTING,
              "\"" + setting + "\" cannot be set for " + target(table) + "; known are " + known));
    }
    return parse(field.get(), table.get(VALUE)).isRight()
        ? Option.none()
        : Option.some(
            table.problemAt(
                VALUE,
                "\"" + setting + "\" must be " + field.get().form() + ", not " + table.get(VALUE)));
  }

  private static <T> Either<String, T> parse(Field<T> field, String value) {
    return field.parser().apply(number(value));
  }

  private static Object number(String value) {
    try {
      return Long.valueOf(value);
    } catch (NumberFormatException notWhole) {
      try {
        return Double.valueOf(value);
      } catch (NumberFormatException notNumber) {
        return value;
      }
    }
  }

  private static String target(CheckedTable table) {
    return table
        .find(FOR_ORGANISATION)
        .map(o -> "organisation \"" + o + "\"")
        .getOrElse(() -> "engine \"" + table.find(FOR_ENGINE).getOrElse("") + "\"");
  }
}
