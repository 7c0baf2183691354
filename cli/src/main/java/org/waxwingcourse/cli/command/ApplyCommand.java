package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.StoreSession;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.config.store.ApplyOutcome;
import org.waxwingcourse.config.store.Change;
import org.waxwingcourse.config.store.ConfigurationWriter;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Store;

/** {@code waxwing apply}: stores the configuration of a declarations file by compare-and-swap. */
public final class ApplyCommand implements Command {
  private static final String REASON = "reason";
  private static final String WHO = "who";
  private static final String BASE = "base";

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String arguments() {
    return "DECLARATIONS";
  }

  @Override
  public String summary() {
    return "validate declarations, show the differences and apply them";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(CommonOptions.storeOption())
        .addOption(
            CommonOptions.withArgument(REASON, "TEXT", "reason for the change; stored with it"))
        .addOption(
            CommonOptions.withArgument(
                WHO, "NAME", "name of the operator; by default the system user"))
        .addOption(
            CommonOptions.withArgument(
                BASE, "REVISION", "reject if another change followed this revision"));
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    String who = line.getOptionValue(WHO, System.getProperty("user.name", ""));
    String operation = UUID.randomUUID().toString();
    Either<String, Change> change =
        Change.of(operation, who, Instant.now(), line.getOptionValue(REASON, ""));
    if (change.isLeft()) {
      return terminal.fail(ExitCode.USAGE, "%s; specify --reason and --who", change.getLeft());
    }
    return parseBase(line)
        .fold(
            error -> terminal.fail(ExitCode.USAGE, "%s", error),
            base ->
                StoreSession.run(
                    line,
                    terminal,
                    store -> applyDeclarations(arguments, store, change.get(), base, terminal)));
  }

  private static Either<String, Option<Revision>> parseBase(CommandLine line) {
    String text = line.getOptionValue(BASE);
    if (text == null) {
      return Either.right(Option.none());
    }
    try {
      return Either.right(Option.some(Revision.of(Long.parseLong(text))));
    } catch (IllegalArgumentException e) {
      return Either.left("--base must be a revision, not \"" + text + "\"");
    }
  }

  private static ExitCode applyDeclarations(
      List<String> arguments,
      Store store,
      Change change,
      Option<Revision> base,
      Terminal terminal) {
    return ConfigurationComparison.read(arguments, store, terminal)
        .peek(comparison -> comparison.printDifferences(terminal))
        .fold(
            code -> code,
            comparison -> {
              Revision baseRevision = base.getOrElse(comparison::storedRevision);
              ApplyOutcome outcome =
                  new ConfigurationWriter(store)
                      .apply(change, baseRevision, comparison.desired())
                      .join();
              return printOutcome(outcome, terminal);
            });
  }

  private static ExitCode printOutcome(ApplyOutcome outcome, Terminal terminal) {
    if (outcome instanceof ApplyOutcome.Accepted accepted) {
      terminal.print("accepted at revision %d", accepted.revision().value());
      return ExitCode.OK;
    }
    if (outcome instanceof ApplyOutcome.Unchanged unchanged) {
      terminal.print("already applied at revision %d", unchanged.revision().value());
      return ExitCode.OK;
    }
    if (outcome instanceof ApplyOutcome.LostRace lostRace) {
      return terminal.fail(
          ExitCode.LOST_RACE,
          "not applied: %s came first with revision %d at %s (%s); run diff and apply again",
          lostRace.winner().who(),
          lostRace.revision().value(),
          lostRace.winner().at(),
          lostRace.winner().reason());
    }
    if (outcome instanceof ApplyOutcome.Unknown unknown) {
      return terminal.fail(
          ExitCode.UNKNOWN,
          "may have been applied: %s; apply the same declarations again to determine the outcome",
          unknown.message());
    }
    ApplyOutcome.NotWritten notWritten = (ApplyOutcome.NotWritten) outcome;
    return terminal.fail(ExitCode.FAILED, "not applied: %s", notWritten.message());
  }
}
