package org.waxwingcourse.cli;

import io.vavr.collection.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the operator command-line interface. */
public interface Command {
  /** Returns the name that selects the command. */
  String name();

  /** Returns the description of the positional arguments in the usage line. */
  String arguments();

  /** Returns a one-line description of the command. */
  String summary();

  /** Returns the options that the command accepts. */
  Options options();

  /** Runs the command with the parsed options and the positional arguments. */
  ExitCode run(CommandLine line, List<String> arguments, Terminal terminal);
}
