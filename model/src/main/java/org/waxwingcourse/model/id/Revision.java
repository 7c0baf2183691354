package org.waxwingcourse.model.id;

/**
 * A revision of the platform store. A later change has a higher revision.
 *
 * @param value the number, at least zero
 */
public record Revision(long value) implements Comparable<Revision> {
  /** The value that precedes all others. */
  public static final Revision NONE = new Revision(0);

  /** Rejects a negative value. */
  public Revision {
    if (value < 0) {
      throw new IllegalArgumentException("Revision must not be negative: " + value);
    }
  }

  /** Returns the revision with the given value. */
  public static Revision of(long value) {
    return new Revision(value);
  }

  /** Returns whether this is greater than {@code other}. */
  public boolean isAfter(Revision other) {
    return value > other.value;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof Revision that && value == that.value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
