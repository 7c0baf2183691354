package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Flags;
import org.waxwingcourse.cli.StoreSession;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.config.store.ApplyOutcome;
import org.waxwingcourse.config.store.Change;
import org.waxwingcourse.config.store.ConfigurationWriter;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Store;

/** {@code waxwing apply}: puts declarations in force by compare-and-swap. */
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
    return "check declarations, show the difference and put them in force";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(Flags.store())
        .addOption(Flags.valued(REASON, "TEXT", "why; kept with the change"))
        .addOption(Flags.valued(WHO, "NAME", "who; else the name of the system's user"))
        .addOption(
            Flags.valued(BASE, "REVISION", "refuse if another change came after this revision"));
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    String who = line.getOptionValue(WHO, System.getProperty("user.name", ""));
    String operation = UUID.randomUUID().toString();
    Either<String, Change> change =
        Change.of(operation, who, Instant.now(), line.getOptionValue(REASON, ""));
    if (change.isLeft()) {
      return terminal.fail(ExitCode.USAGE, "%s; give --reason and --who", change.getLeft());
    }
    return base(line)
        .fold(
            wrong -> terminal.fail(ExitCode.USAGE, "%s", wrong),
            base ->
                StoreSession.run(
                    line, terminal, s -> apply(arguments, s, change.get(), base, terminal)));
  }

  private static Either<String, Option<Revision>> base(CommandLine line) {
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

  private static ExitCode apply(
      List<String> arguments,
      Store store,
      Change change,
      Option<Revision> base,
      Terminal terminal) {
    return Declared.read(arguments, store, terminal)
        .peek(declared -> declared.print(terminal))
        .fold(
            code -> code,
            declared -> {
              Revision compared = base.getOrElse(declared::base);
              ApplyOutcome outcome =
                  new ConfigurationWriter(store).apply(change, compared, declared.wanted()).join();
              return tell(outcome, terminal);
            });
  }

  private static ExitCode tell(ApplyOutcome outcome, Terminal terminal) {
    if (outcome instanceof ApplyOutcome.Accepted accepted) {
      terminal.print("accepted at revision %d", accepted.revision().value());
      return ExitCode.OK;
    }
    if (outcome instanceof ApplyOutcome.Unchanged unchanged) {
      terminal.print("already in force at revision %d", unchanged.revision().value());
      return ExitCode.OK;
    }
    if (outcome instanceof ApplyOutcome.LostRace lost) {
      return terminal.fail(
          ExitCode.LOST_RACE,
          "not applied: %s came first with revision %d at %s (%s); run diff and apply again",
          lost.first().who(),
          lost.revision().value(),
          lost.first().at(),
          lost.first().reason());
    }
    if (outcome instanceof ApplyOutcome.Unknown unknown) {
      return terminal.fail(
          ExitCode.UNKNOWN,
          "may have been applied: %s; apply the same declarations again to settle it",
          unknown.message());
    }
    ApplyOutcome.NotWritten refused = (ApplyOutcome.NotWritten) outcome;
    return terminal.fail(ExitCode.FAILED, "not applied: %s", refused.message());
  }
}
