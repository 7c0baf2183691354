package org.waxwingcourse.cli;

import io.vavr.collection.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the operators' command line. */
public interface Command {
  /** Returns the name that selects the command. */
  String name();

  /** Returns the arguments as the usage line shows them. */
  String arguments();

  /** Returns what the command does, in one line. */
  String summary();

  /** Returns the options that the command takes. */
  Options options();

  /** Runs the command; {@code arguments} are what is left beside the options. */
  ExitCode run(CommandLine line, List<String> arguments, Terminal terminal);
}
