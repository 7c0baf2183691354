package org.waxwingcourse.fleet.view;

/**
 * What a boot of an engine has said of itself in its answers.
 *
 * @param leaving whether it has said that it is leaving; never taken back
 */
record EngineStatement(boolean leaving) {
  /** The statement of a boot that has said nothing. */
  static final EngineStatement EMPTY = new EngineStatement(false);

  /** Returns this statement with that of a leaving engine. */
  EngineStatement withLeaving() {
    return new EngineStatement(true);
  }
}
