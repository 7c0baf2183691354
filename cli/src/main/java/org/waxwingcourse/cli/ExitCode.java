package org.waxwingcourse.cli;

/** The result of a command, reported as the exit code of the process. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command was rejected or failed; its message states the reason. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The change conflicts with an earlier change by another operator; nothing was written. */
  LOST_RACE(3),
  /** The outcome is unknown; {@code waxwing status} shows the current state. */
  UNKNOWN(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
