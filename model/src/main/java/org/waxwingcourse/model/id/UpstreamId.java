package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Names an upstream: a model engine or a plain service instance.
 *
 * @param value the text form, not empty
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
  /** Rejects a null or empty value. */
  public UpstreamId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("UpstreamId must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static UpstreamId of(String value) {
    return new UpstreamId(value);
  }

  @Override
  public int compareTo(UpstreamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
