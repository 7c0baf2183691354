package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Names a plain service as it appears in the request path.
 *
 * @param value the text form, not empty
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
  /** Rejects a null or empty value. */
  public ServiceName {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("ServiceName must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static ServiceName of(String value) {
    return new ServiceName(value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceName that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
