package org.waxwingcourse.model.id;

/**
 * A fencing token: a number that increases with each new owner of a lease. A receiver rejects
 * numbers lower than the highest that it has seen.
 *
 * @param value the number, at least zero
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
  /** The value that precedes all others. */
  public static final FencingNumber NONE = new FencingNumber(0);

  /** Rejects a negative value. */
  public FencingNumber {
    if (value < 0) {
      throw new IllegalArgumentException("FencingNumber must not be negative: " + value);
    }
  }

  /** Returns the fencing number with the given value. */
  public static FencingNumber of(long value) {
    return new FencingNumber(value);
  }

  /** Returns whether this is greater than {@code other}. */
  public boolean isAfter(FencingNumber other) {
    return value > other.value;
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}
