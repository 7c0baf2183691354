package org.waxwingcourse.cli;

import io.vavr.collection.List;
import org.waxwingcourse.cli.command.ApplyCommand;
import org.waxwingcourse.cli.command.CheckCommand;
import org.waxwingcourse.cli.command.DiffCommand;
import org.waxwingcourse.cli.command.ExplainCommand;
import org.waxwingcourse.cli.command.JobCommand;
import org.waxwingcourse.cli.command.KeyCommand;
import org.waxwingcourse.cli.command.LoadCommand;
import org.waxwingcourse.cli.command.ReportCommand;
import org.waxwingcourse.cli.command.StatusCommand;
import org.waxwingcourse.cli.command.VerifyCommand;

/** The entry point of the {@code waxwing} program. */
public final class WaxwingMain {
  private WaxwingMain() {}

  /** Runs the command that the first argument names and exits with its exit code. */
  public static void main(String[] arguments) {
    Terminal terminal = Terminal.ofStandardStreams();
    ExitCode code = CommandDispatcher.of(commands(), terminal).run(arguments);
    System.exit(code.code());
  }

  static List<Command> commands() {
    return List.of(
        new CheckCommand(),
        new DiffCommand(),
        new ApplyCommand(),
        new StatusCommand(),
        new KeyCommand(),
        new JobCommand(),
        new ExplainCommand(),
        new VerifyCommand(),
        new ReportCommand(),
        new LoadCommand());
  }
}
