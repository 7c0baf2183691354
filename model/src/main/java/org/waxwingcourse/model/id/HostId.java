package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Names one host of this system.
 *
 * @param value the text form, not empty
 */
public record HostId(String value) implements Comparable<HostId> {
  /** Rejects a null or empty value. */
  public HostId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("HostId must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static HostId of(String value) {
    return new HostId(value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof HostId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
