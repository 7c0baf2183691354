package org.waxwingcourse.fleet.view;

/**
 * What a boot of an engine has said of itself in its answers.
 *
 * @param leaving whether it has said that it is leaving; never taken back
 * @param limit the latest reading of its limit
 * @param limitVersion number of the last change of its limit on this host, zero without one
 * @param unreadable whether it has named a limit that could not be read
 */
record EngineStatement(boolean leaving, LimitReading limit, long limitVersion, boolean unreadable) {
  /** The statement of a boot that has said nothing. */
  static final EngineStatement EMPTY = new EngineStatement(false, LimitReading.NONE, 0, false);

  /** Returns this statement with that of a leaving engine. */
  EngineStatement withLeaving() {
    return new EngineStatement(true, limit, limitVersion, unreadable);
  }

  /** Returns this statement with another reading of the limit. */
  EngineStatement withLimit(LimitReading reading, long version) {
    return new EngineStatement(leaving, reading, version, unreadable);
  }

  /** Returns this statement with that of an engine whose limit could not be read. */
  EngineStatement withUnreadable() {
    return new EngineStatement(leaving, limit, limitVersion, true);
  }
}
