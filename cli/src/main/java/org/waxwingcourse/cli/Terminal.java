package org.waxwingcourse.cli;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out the stream for results
 * @param err the stream for error messages
 */
public record Terminal(PrintStream out, PrintStream err) {
  /** Returns a terminal with the standard streams of this process. */
  public static Terminal ofStandardStreams() {
    return new Terminal(System.out, System.err);
  }

  /** Prints a formatted line to the result stream. */
  public void print(String format, Object... arguments) {
    out.println(format.formatted(arguments));
  }

  /** Prints a formatted error message and returns {@code code}. */
  public ExitCode fail(ExitCode code, String format, Object... arguments) {
    err.println("waxwing: " + format.formatted(arguments));
    return code;
  }
}
