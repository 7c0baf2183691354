package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Names a model as it appears in requests.
 *
 * @param value the text form, not empty
 */
public record ModelName(String value) implements Comparable<ModelName> {
  /** Rejects a null or empty value. */
  public ModelName {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("ModelName must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static ModelName of(String value) {
    return new ModelName(value);
  }

  @Override
  public int compareTo(ModelName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
