package org.waxwingcourse.cli;

import io.vavr.collection.List;
import io.vavr.control.Option;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Chooses the command that the first argument names and runs it. */
public final class Waxwing {
  private static final String HELP = "help";

  private final List<Command> commands;
  private final Terminal terminal;

  private Waxwing(List<Command> commands, Terminal terminal) {
    this.commands = commands;
    this.terminal = terminal;
  }

  /** Returns the command line with the given commands. */
  public static Waxwing of(List<Command> commands, Terminal terminal) {
    return new Waxwing(commands, terminal);
  }

  /** Runs the command that the arguments ask for. */
  public ExitCode run(String... arguments) {
    List<String> words = List.of(arguments);
    if (words.isEmpty() || words.head().equals("--" + HELP) || words.head().equals(HELP)) {
      return help();
    }
    Option<Command> command = commands.find(c -> c.name().equals(words.head()));
    return command
        .map(c -> run(c, words.tail()))
        .getOrElse(
            () ->
                terminal.fail(
                    ExitCode.USAGE,
                    "command \"%s\" does not exist; known are %s",
                    words.head(),
                    commands.map(Command::name).mkString(", ")));
  }

  private ExitCode run(Command command, List<String> words) {
    Options options = new Options();
    command.options().getOptions().forEach(options::addOption);
    options.addOption(null, HELP, false, "show this text");
    if (words.contains("--" + HELP)) {
      terminal.print("%s", HelpText.of(command, options));
      return ExitCode.OK;
    }
    try {
      CommandLine line = new DefaultParser().parse(options, words.toJavaArray(String[]::new));
      return command.run(line, List.ofAll(line.getArgList()), terminal);
    } catch (ParseException e) {
      return terminal.fail(
          ExitCode.USAGE, "%s; see \"waxwing %s --help\"", e.getMessage(), command.name());
    }
  }

  private ExitCode help() {
    terminal.print("usage: waxwing COMMAND [OPTION]... [ARGUMENT]...");
    commands.forEach(c -> terminal.print("  %-8s %s", c.name(), c.summary()));
    terminal.print("\"waxwing COMMAND --help\" tells more. Exit codes:");
    for (ExitCode code : ExitCode.values()) {
      terminal.print("  %d  %s", code.code(), code.name().toLowerCase(java.util.Locale.ROOT));
    }
    return ExitCode.OK;
  }
}
