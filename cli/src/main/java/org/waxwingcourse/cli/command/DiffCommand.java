package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.StoreSession;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.store.Store;

/** {@code waxwing diff}: shows the changes that applying a declarations file would make. */
public final class DiffCommand implements Command {
  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String arguments() {
    return "DECLARATIONS";
  }

  @Override
  public String summary() {
    return "show the changes that applying declarations would make";
  }

  @Override
  public Options options() {
    return new Options().addOption(CommonOptions.storeOption());
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    return StoreSession.run(line, terminal, store -> printDifferences(arguments, store, terminal));
  }

  private static ExitCode printDifferences(List<String> arguments, Store store, Terminal terminal) {
    return ConfigurationComparison.read(arguments, store, terminal)
        .peek(comparison -> comparison.printDifferences(terminal))
        .fold(code -> code, comparison -> ExitCode.OK);
  }
}
