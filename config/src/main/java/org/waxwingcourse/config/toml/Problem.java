package org.waxwingcourse.config.toml;

/**
 * An error in a file, with its position.
 *
 * @param file the path of the file as the caller gave it
 * @param line line number, starting at one
 * @param column column number, starting at one
 * @param message what is wrong and what is expected
 */
public record Problem(String file, int line, int column, String message)
    implements Comparable<Problem> {
  @Override
  public int compareTo(Problem other) {
    int byLine = Integer.compare(line, other.line);
    return byLine != 0 ? byLine : Integer.compare(column, other.column);
  }

  @Override
  public String toString() {
    return file + ":" + line + ":" + column + ": " + message;
  }
}
