package org.waxwingcourse.fleet.engine;

/** What an answer says about how many requests its engine takes from all hosts together. */
public sealed interface StatedLimit {
  /** The answer names no limit, which ends one that an earlier answer has named. */
  StatedLimit NONE = new None();

  /** See {@link #NONE}. */
  record None() implements StatedLimit {}

  /**
   * The answer names a limit.
   *
   * @param rate the limit
   */
  record Limit(RequestRate rate) implements StatedLimit {}

  /**
   * The answer names a limit that cannot be read, and so says nothing.
   *
   * @param text what it names
   */
  record Unreadable(String text) implements StatedLimit {}
}
