package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Flags;
import org.waxwingcourse.cli.StoreSession;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.store.Store;

/** {@code waxwing diff}: shows what applying declarations would change. */
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
    return "show what applying declarations would change";
  }

  @Override
  public Options options() {
    return new Options().addOption(Flags.store());
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    return StoreSession.run(line, terminal, store -> diff(arguments, store, terminal));
  }

  private static ExitCode diff(List<String> arguments, Store store, Terminal terminal) {
    return Declared.read(arguments, store, terminal)
        .peek(declared -> declared.print(terminal))
        .fold(code -> code, declared -> ExitCode.OK);
  }
}
