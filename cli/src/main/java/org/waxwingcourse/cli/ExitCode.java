package org.waxwingcourse.cli;

/** How a command ended, as its process tells the shell. */
public enum ExitCode {
  /** The command did what it was asked to. */
  OK(0),
  /** The command was refused or failed; its message says why. */
  FAILED(1),
  /** The command line itself is wrong. */
  USAGE(2),
  /** Another operator's change came first; nothing was written. */
  LOST_RACE(3),
  /** The outcome is not known; ask again with {@code waxwing status}. */
  UNKNOWN(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the process's exit code. */
  public int code() {
    return code;
  }
}
