package org.waxwingcourse.cli.report;

/**
 * Events of one objective and organisation on one node since it started.
 *
 * @param objective wire name of the objective
 * @param organisation whose requests
 * @param total all events
 * @param good those that met the objective
 */
public record LevelCount(String objective, String organisation, long total, long good) {
  Series series() {
    return new Series(objective, organisation);
  }

  LevelCount plus(LevelCount other) {
    return new LevelCount(objective, organisation, total + other.total, good + other.good);
  }

  /** Returns what was counted since {@code before}; a smaller count means a new process. */
  LevelCount since(LevelCount before) {
    if (total < before.total || good < before.good) {
      return this;
    }
    return new LevelCount(objective, organisation, total - before.total, good - before.good);
  }
}
