package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Identifies one batch file, which a caller uploaded or a job produced.
 *
 * @param value the text form, not empty
 */
public record FileId(String value) implements Comparable<FileId> {
  /** Rejects a null or empty value. */
  public FileId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("FileId must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static FileId of(String value) {
    return new FileId(value);
  }

  @Override
  public int compareTo(FileId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
