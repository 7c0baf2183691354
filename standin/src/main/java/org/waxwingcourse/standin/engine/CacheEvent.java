package org.waxwingcourse.standin.engine;

/**
 * A block that entered or left the prefix cache.
 *
 * @param number counts from one; numbers that are missing are lost events
 * @param kind "stored" or "removed"
 * @param block the block's hash
 */
public record CacheEvent(long number, String kind, String block) {
  /** The kind of a block that entered. */
  public static final String STORED = "stored";

  /** The kind of a block that left. */
  public static final String REMOVED = "removed";
}
