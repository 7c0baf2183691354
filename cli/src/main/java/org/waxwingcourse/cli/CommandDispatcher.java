package org.waxwingcourse.cli;

import io.vavr.collection.List;
import io.vavr.control.Option;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Selects the command by the first argument and runs it. */
public final class CommandDispatcher {
  private static final String HELP = "help";

  private final List<Command> commands;
  private final Terminal terminal;

  private CommandDispatcher(List<Command> commands, Terminal terminal) {
    this.commands = commands;
    this.terminal = terminal;
  }

  /** Returns a dispatcher for the given commands. */
  public static CommandDispatcher of(List<Command> commands, Terminal terminal) {
    return new CommandDispatcher(commands, terminal);
  }

  /** Runs the command that the first argument names, or prints the help text. */
  public ExitCode run(String... arguments) {
    List<String> commandLine = List.of(arguments);
    if (commandLine.isEmpty()
        || commandLine.head().equals("--" + HELP)
        || commandLine.head().equals(HELP)) {
      return printHelp();
    }
    Option<Command> command = commands.find(c -> c.name().equals(commandLine.head()));
    return command
        .map(c -> run(c, commandLine.tail()))
        .getOrElse(
            () ->
                terminal.fail(
                    ExitCode.USAGE,
                    "command \"%s\" does not exist; expected one of %s",
                    commandLine.head(),
                    commands.map(Command::name).mkString(", ")));
  }

  private ExitCode run(Command command, List<String> commandLine) {
    Options options = new Options();
    command.options().getOptions().forEach(options::addOption);
    options.addOption(null, HELP, false, "print this help text");
    if (commandLine.contains("--" + HELP)) {
      terminal.print("%s", HelpText.of(command, options));
      return ExitCode.OK;
    }
    try {
      CommandLine line = new DefaultParser().parse(options, commandLine.toJavaArray(String[]::new));
      return command.run(line, List.ofAll(line.getArgList()), terminal);
    } catch (ParseException e) {
      return terminal.fail(
          ExitCode.USAGE, "%s; see \"waxwing %s --help\"", e.getMessage(), command.name());
    }
  }

  private ExitCode printHelp() {
    terminal.print("usage: waxwing COMMAND [OPTION]... [ARGUMENT]...");
    commands.forEach(c -> terminal.print("  %-8s %s", c.name(), c.summary()));
    terminal.print("\"waxwing COMMAND --help\" describes a command. Exit codes:");
    for (ExitCode code : ExitCode.values()) {
      terminal.print("  %d  %s", code.code(), code.name().toLowerCase(java.util.Locale.ROOT));
    }
    return ExitCode.OK;
  }
}
