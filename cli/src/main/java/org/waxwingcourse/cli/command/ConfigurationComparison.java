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
 * The stored configuration and the configuration that a declarations file describes.
 *
 * @param stored the stored configuration, none if no configuration has been applied yet
 * @param desired the configuration that the declarations describe
 */
record ConfigurationComparison(Option<FleetConfiguration> stored, FleetConfiguration desired) {

  /** Reads both configurations; on failure prints the problem and returns the exit code. */
  static Either<ExitCode, ConfigurationComparison> read(
      List<String> arguments, Store store, Terminal terminal) {
    if (arguments.size() != 1) {
      return Either.left(terminal.fail(ExitCode.USAGE, "specify one declarations file"));
    }
    return DeclarationReader.read(Path.of(arguments.head()))
        .peekLeft(problems -> problems.forEach(p -> terminal.err().println(p)))
        .mapLeft(problems -> ExitCode.FAILED)
        .flatMap(
            desired ->
                StoreSession.readConfiguration(store)
                    .mapLeft(message -> terminal.fail(ExitCode.FAILED, "%s", message))
                    .map(stored -> new ConfigurationComparison(stored, desired)));
  }

  /** Returns the revision of the stored configuration. */
  Revision storedRevision() {
    return stored.map(FleetConfiguration::revision).getOrElse(Revision.NONE);
  }

  /** Returns a line of text for each difference. */
  java.util.List<String> differences() {
    return stored
        .map(before -> ConfigurationDiff.between(before, desired))
        .getOrElse(() -> ConfigurationDiff.fromEmpty(desired));
  }

  /** Prints the differences. */
  void printDifferences(Terminal terminal) {
    terminal.print(
        "stored revision %d, %d differences", storedRevision().value(), differences().size());
    differences().forEach(line -> terminal.print("  %s", line));
  }
}
