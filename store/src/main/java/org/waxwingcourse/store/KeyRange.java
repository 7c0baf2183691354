package org.waxwingcourse.store;

/**
 * A single key, or all keys that start with a prefix.
 *
 * @param key the key or the prefix
 * @param prefix whether {@code key} is a prefix
 */
public record KeyRange(String key, boolean prefix) {
  /** Returns the range of a single key. */
  public static KeyRange ofKey(String key) {
    return new KeyRange(key, false);
  }

  /** Returns the range of all keys that start with {@code prefix}. */
  public static KeyRange ofPrefix(String prefix) {
    return new KeyRange(prefix, true);
  }

  /** Returns whether {@code candidate} is in the range. */
  public boolean contains(String candidate) {
    return prefix ? candidate.startsWith(key) : candidate.equals(key);
  }
}
