package org.waxwingcourse.config.toml;

/**
 * Something wrong in a file.
 *
 * @param file the file as it was named
 * @param line line number from one
 * @param column column number from one
 * @param message what is wrong and what would be right
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
