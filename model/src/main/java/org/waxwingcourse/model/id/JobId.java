package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Identifies one batch job.
 *
 * @param value the text form, not empty
 */
public record JobId(String value) implements Comparable<JobId> {
  /** Rejects a null or empty value. */
  public JobId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("JobId must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static JobId of(String value) {
    return new JobId(value);
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof JobId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
