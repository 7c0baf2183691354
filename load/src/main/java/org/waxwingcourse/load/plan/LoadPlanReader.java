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

/** Reads load plans. A file with any problem is rejected; each problem names its line. */
public final class LoadPlanReader {
  private static final double PERCENT = 100;

  private final TomlDocument document;

  private LoadPlanReader(TomlDocument document) {
    this.document = document;
  }

  /** Reads and validates a file. */
  public static Either<List<Problem>, LoadPlan> read(Path path) {
    return TomlDocument.read(path, LoadPlanSchema.sections()).flatMap(LoadPlanReader::build);
  }

  /** Validates a text that was read from {@code file}. */
  public static Either<List<Problem>, LoadPlan> parse(String file, String text) {
    return TomlDocument.parse(file, text, LoadPlanSchema.sections()).flatMap(LoadPlanReader::build);
  }

  private static Either<List<Problem>, LoadPlan> build(TomlDocument document) {
    LoadPlanReader reader = new LoadPlanReader(document);
    List<Problem> found = reader.findProblems();
    return found.isEmpty() ? Either.right(reader.buildPlan()) : Either.left(found);
  }

  private List<Problem> findProblems() {
    List<Problem> found = new ArrayList<>();
    List<CheckedTable> organisations = document.tables(LoadPlanSchema.ORGANISATION);
    Set<String> names =
        organisations.stream().map(t -> t.get(LoadPlanSchema.NAME)).collect(Collectors.toSet());
    if (organisations.isEmpty()) {
      CheckedTable load = document.table(LoadPlanSchema.LOAD);
      found.add(
          load.problemAt(LoadPlanSchema.DURATION_SECONDS, "the plan has no [[organisation]]"));
    }
    for (CheckedTable table : organisations) {
      if (table.get(LoadPlanSchema.SHARED_TOKENS) > table.get(LoadPlanSchema.PROMPT_TOKENS)) {
        String message = "\"shared_tokens\" must not be more than \"prompt_tokens\"";
        found.add(table.problemAt(LoadPlanSchema.SHARED_TOKENS, message));
      }
    }
    for (Section section : List.of(LoadPlanSchema.SURGE, LoadPlanSchema.BATCH)) {
      for (CheckedTable table : document.tables(section)) {
        String name = table.get(LoadPlanSchema.TARGET_ORGANISATION);
        if (!names.contains(name)) {
          String message = "there is no [[organisation]] \"" + name + "\"";
          found.add(table.problemAt(LoadPlanSchema.TARGET_ORGANISATION, message));
        }
      }
    }
    return found.stream().sorted().toList();
  }

  private LoadPlan buildPlan() {
    CheckedTable load = document.table(LoadPlanSchema.LOAD);
    return new LoadPlan(
        load.get(LoadPlanSchema.SEED),
        Duration.ofSeconds(load.get(LoadPlanSchema.DURATION_SECONDS)),
        Duration.ofSeconds(load.get(LoadPlanSchema.DRAIN_SECONDS)),
        load.get(LoadPlanSchema.HOSTS),
        load.get(LoadPlanSchema.MODEL),
        Duration.ofMillis(load.get(LoadPlanSchema.REQUEST_TIMEOUT_MS)),
        load.get(LoadPlanSchema.RETRIES),
        load.get(LoadPlanSchema.CHECK_ANSWERS),
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
        table.get(LoadPlanSchema.OFFERED_PER_SECOND),
        table.get(LoadPlanSchema.RATE_PER_SECOND),
        table.get(LoadPlanSchema.BURST),
        table.get(LoadPlanSchema.PROMPT_TOKENS),
        table.get(LoadPlanSchema.SHARED_TOKENS),
        table.get(LoadPlanSchema.PREFIXES),
        table.get(LoadPlanSchema.OUTPUT_TOKENS),
        table.get(LoadPlanSchema.STREAMED_PERCENT) / PERCENT);
  }

  private static Surge surgeOf(CheckedTable table) {
    return new Surge(
        table.get(LoadPlanSchema.TARGET_ORGANISATION),
        Duration.ofMillis(table.get(LoadPlanSchema.AT_MS)),
        Duration.ofMillis(table.get(LoadPlanSchema.LENGTH_MS)),
        table.get(LoadPlanSchema.FACTOR));
  }

  private static BatchLoad batchOf(CheckedTable table) {
    return new BatchLoad(
        table.get(LoadPlanSchema.TARGET_ORGANISATION),
        Duration.ofMillis(table.get(LoadPlanSchema.AT_MS)),
        table.get(LoadPlanSchema.ITEMS),
        table.get(LoadPlanSchema.OUTPUT_TOKENS));
  }

  private static PlannedFault faultOf(CheckedTable table) {
    return new PlannedFault(
        Duration.ofMillis(table.get(LoadPlanSchema.AT_MS)),
        table.get(LoadPlanSchema.ADDRESS),
        table.get(LoadPlanSchema.BODY));
  }
}
