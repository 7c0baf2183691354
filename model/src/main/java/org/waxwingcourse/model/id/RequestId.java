package org.waxwingcourse.model.id;

import java.util.Objects;
import java.util.UUID;

/**
 * Identifies one request on every host that handles it.
 *
 * @param value the text form, not empty
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Rejects a null or empty value. */
  public RequestId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("RequestId must not be empty");
    }
  }

  /**
   * The prefix of every id from {@link #random}, by which such an id is recognised in an answer.
   */
  public static final String PREFIX = "wxreq.";

  /** Returns a new unique id. */
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

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof RequestId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
