package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Names a data centre.
 *
 * @param value the text form, not empty
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
  /** Rejects a null or empty value. */
  public DataCentreId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("DataCentreId must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static DataCentreId of(String value) {
    return new DataCentreId(value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof DataCentreId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
