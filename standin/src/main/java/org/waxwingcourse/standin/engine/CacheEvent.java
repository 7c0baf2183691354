package org.waxwingcourse.standin.engine;

/**
 * Records that a block was added to or evicted from the prefix cache.
 *
 * @param number sequence number, starting at one; a missing number is a lost event
 * @param kind "stored" or "removed"
 * @param block hash of the block
 */
public record CacheEvent(long number, String kind, String block) {
  /** The kind of an event for an added block. */
  public static final String STORED = "stored";

  /** The kind of an event for an evicted block. */
  public static final String REMOVED = "removed";
}
