package org.waxwingcourse.model.id;

/**
 * Orders the changes of the platform store; a higher revision is later.
 *
 * @param value the number, at least zero
 */
public record Revision(long value) implements Comparable<Revision> {
  /** The value before any other. */
  public static final Revision NONE = new Revision(0);

  /** Refuses a negative value. */
  public Revision {
    if (value < 0) {
      throw new IllegalArgumentException("Revision must not be negative: " + value);
    }
  }

  /** Returns the value with the given number. */
  public static Revision of(long value) {
    return new Revision(value);
  }

  /** Tells whether this comes after {@code other}. */
  public boolean isAfter(Revision other) {
    return value > other.value;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }
}
