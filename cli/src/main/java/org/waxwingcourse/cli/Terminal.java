package org.waxwingcourse.cli;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err problems
 */
public record Terminal(PrintStream out, PrintStream err) {
  /** Returns the terminal of this process. */
  public static Terminal ofProcess() {
    return new Terminal(System.out, System.err);
  }

  /** Prints one line of a result. */
  public void print(String format, Object... arguments) {
    out.println(format.formatted(arguments));
  }

  /** Prints a problem and returns {@code code}. */
  public ExitCode fail(ExitCode code, String format, Object... arguments) {
    err.println("waxwing: " + format.formatted(arguments));
    return code;
  }
}
