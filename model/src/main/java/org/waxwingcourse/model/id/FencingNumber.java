package org.waxwingcourse.model.id;

/**
 * Rises with each new owner of a lease; a receiver refuses a lower one than it has seen.
 *
 * @param value the number, at least zero
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
  /** The value before any other. */
  public static final FencingNumber NONE = new FencingNumber(0);

  /** Refuses a negative value. */
  public FencingNumber {
    if (value < 0) {
      throw new IllegalArgumentException("FencingNumber must not be negative: " + value);
    }
  }

  /** Returns the value with the given number. */
  public static FencingNumber of(long value) {
    return new FencingNumber(value);
  }

  /** Tells whether this comes after {@code other}. */
  public boolean isAfter(FencingNumber other) {
    return value > other.value;
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}
