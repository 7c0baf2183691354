package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.file.Path;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.StoreSession;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.config.declaration.ConfigurationDiff;
import org.waxwingcourse.config.declaration.DeclarationReader;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Store;

/**
 * Declarations beside what is stored.
 *
 * @param stored what is stored, nothing before the first was applied
 * @param wanted what the declarations say
 */
record Declared(Option<FleetConfiguration> stored, FleetConfiguration wanted) {

  /** Reads both; a problem is printed and its exit code returned. */
  static Either<ExitCode, Declared> read(List<String> arguments, Store store, Terminal terminal) {
    if (arguments.size() != 1) {
      return Either.left(terminal.fail(ExitCode.USAGE, "give one declarations file"));
    }
    return DeclarationReader.read(Path.of(arguments.head()))
        .peekLeft(problems -> problems.forEach(p -> terminal.err().println(p)))
        .mapLeft(problems -> ExitCode.FAILED)
        .flatMap(
            wanted ->
                StoreSession.configuration(store)
                    .mapLeft(message -> terminal.fail(ExitCode.FAILED, "%s", message))
                    .map(stored -> new Declared(stored, wanted)));
  }

  /** Returns the revision that is stored. */
  Revision base() {
    return stored.map(FleetConfiguration::revision).getOrElse(Revision.NONE);
  }

  /** Returns the differences in words. */
  java.util.List<String> difference() {
    return stored
        .map(before -> ConfigurationDiff.between(before, wanted))
        .getOrElse(() -> ConfigurationDiff.fromEmpty(wanted));
  }

  /** Prints the differences. */
  void print(Terminal terminal) {
    terminal.print("stored revision %d, %d differences", base().value(), difference().size());
    difference().forEach(line -> terminal.print("  %s", line));
  }
}
