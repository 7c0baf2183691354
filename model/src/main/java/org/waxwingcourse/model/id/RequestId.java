package org.waxwingcourse.model.id;

import java.util.Objects;
import java.util.UUID;

/**
 * Identifies one request through every host that it crosses.
 *
 * @param value the text form, never empty
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Refuses an absent or empty value. */
  public RequestId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("RequestId must not be empty");
    }
  }

  /** Begins every id that {@link #random} makes, so that it is known again in an answer. */
  public static final String PREFIX = "wxreq.";

  /** Returns an id that no other request has. */
  public static RequestId random() {
    return new RequestId(PREFIX + UUID.randomUUID());
  }

  /** Returns the id with the given text form. */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
