package org.waxwingcourse.load.plan;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.waxwingcourse.config.toml.CheckedTable;
import org.waxwingcourse.config.toml.Problem;
import org.waxwingcourse.config.toml.Section;
import org.waxwingcourse.config.toml.TomlDocument;

/** Reads load plans; any problem refuses the whole file, with its line. */
public final class LoadPlanReader {
  private static final double PERCENT = 100;

  private final TomlDocument document;

  private LoadPlanReader(TomlDocument document) {
    this.document = document;
  }

  /** Reads and checks a file. */
  public static Either<List<Problem>, LoadPlan> read(Path path) {
    return TomlDocument.read(path, LoadPlanSchema.sections()).flatMap(LoadPlanReader::build);
  }

  /** Checks a text that was read from {@code file}. */
  public static Either<List<Problem>, LoadPlan> parse(String file, String text) {
    return TomlDocument.parse(file, text, LoadPlanSchema.sections()).flatMap(LoadPlanReader::build);
  }

  private static Either<List<Problem>, LoadPlan> build(TomlDocument document) {
    LoadPlanReader reader = new LoadPlanReader(document);
    List<Problem> problems = reader.problems();
    return problems.isEmpty() ? Either.right(reader.plan()) : Either.left(problems);
  }

  private List<Problem> problems() {
    List<Problem> problems = new ArrayList<>();
    List<CheckedTable> organisations = document.tables(LoadPlanSchema.ORGANISATION);
    Set<String> names =
        organisations.stream().map(t -> t.get(LoadPlanSchema.NAME)).collect(Collectors.toSet());
    if (organisations.isEmpty()) {
      CheckedTable load = document.table(LoadPlanSchema.LOAD);
      problems.add(load.problemAt(LoadPlanSchema.DURATION, "no [[organisation]] sends anything"));
    }
    for (CheckedTable table : organisations) {
      if (table.get(LoadPlanSchema.SHARED) > table.get(LoadPlanSchema.PROMPT)) {
        String message = "\"shared_tokens\" must not be more than \"prompt_tokens\"";
        problems.add(table.problemAt(LoadPlanSchema.SHARED, message));
      }
    }
    for (Section section : List.of(LoadPlanSchema.SURGE, LoadPlanSchema.BATCH)) {
      for (CheckedTable table : document.tables(section)) {
        String name = table.get(LoadPlanSchema.FOR);
        if (!names.contains(name)) {
          String message = "there is no [[organisation]] \"" + name + "\"";
          problems.add(table.problemAt(LoadPlanSchema.FOR, message));
        }
      }
    }
    return problems.stream().sorted().toList();
  }

  private LoadPlan plan() {
    CheckedTable load = document.table(LoadPlanSchema.LOAD);
    return new LoadPlan(
        load.get(LoadPlanSchema.SEED),
        Duration.ofSeconds(load.get(LoadPlanSchema.DURATION)),
        Duration.ofSeconds(load.get(LoadPlanSchema.DRAIN)),
        load.get(LoadPlanSchema.HOSTS),
        load.get(LoadPlanSchema.MODEL),
        Duration.ofMillis(load.get(LoadPlanSchema.TIMEOUT)),
        load.get(LoadPlanSchema.RETRIES),
        load.get(LoadPlanSchema.CHECK),
        document.tables(LoadPlanSchema.ORGANISATION).stream()
            .map(LoadPlanReader::organisationOf)
            .toList(),
        document.tables(LoadPlanSchema.SURGE).stream().map(LoadPlanReader::surgeOf).toList(),
        document.tables(LoadPlanSchema.BATCH).stream().map(LoadPlanReader::batchOf).toList(),
        document.tables(LoadPlanSchema.FAULT).stream().map(LoadPlanReader::faultOf).toList());
  }

  private static OrganisationLoad organisationOf(CheckedTable table) {
    return new OrganisationLoad(
        table.get(LoadPlanSchema.NAME),
        table.get(LoadPlanSchema.KEY),
        table.get(LoadPlanSchema.OFFERED),
        table.get(LoadPlanSchema.RATE),
        table.get(LoadPlanSchema.BURST),
        table.get(LoadPlanSchema.PROMPT),
        table.get(LoadPlanSchema.SHARED),
        table.get(LoadPlanSchema.PREFIXES),
        table.get(LoadPlanSchema.OUTPUT),
        table.get(LoadPlanSchema.STREAMED) / PERCENT);
  }

  private static Surge surgeOf(CheckedTable table) {
    return new Surge(
        table.get(LoadPlanSchema.FOR),
        Duration.ofMillis(table.get(LoadPlanSchema.AT)),
        Duration.ofMillis(table.get(LoadPlanSchema.LENGTH)),
        table.get(LoadPlanSchema.FACTOR));
  }

  private static BatchLoad batchOf(CheckedTable table) {
    return new BatchLoad(
        table.get(LoadPlanSchema.FOR),
        Duration.ofMillis(table.get(LoadPlanSchema.AT)),
        table.get(LoadPlanSchema.ITEMS),
        table.get(LoadPlanSchema.OUTPUT));
  }

  private static PlannedFault faultOf(CheckedTable table) {
    return new PlannedFault(
        Duration.ofMillis(table.get(LoadPlanSchema.AT)),
        table.get(LoadPlanSchema.ADDRESS),
        table.get(LoadPlanSchema.BODY));
  }
}
