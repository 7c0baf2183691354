package org.waxwingcourse.fleet.engine;

/** A hash that is the same in all processes, and that two inputs hardly ever share. */
final class StableHash {
  private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

  private StableHash() {}

  static long of(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * MULTIPLIER;
      hash ^= hash >>> 32;
    }
    return hash;
  }
}
