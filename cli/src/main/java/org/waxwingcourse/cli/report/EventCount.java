package org.waxwingcourse.cli.report;

/**
 * The count of events of one objective and organisation, on one node since its start or over a
 * period.
 *
 * @param objective the name of the objective in metrics
 * @param organisation the organisation whose requests are counted
 * @param total the number of all events
 * @param good the number of events that met the objective
 */
public record EventCount(String objective, String organisation, long total, long good) {
  SeriesKey series() {
    return new SeriesKey(objective, organisation);
  }

  EventCount plus(EventCount other) {
    return new EventCount(objective, organisation, total + other.total, good + other.good);
  }

  /**
   * Returns the events counted since {@code previous}. A count below the previous one means that
   * the process was restarted, so all events are counted.
   */
  EventCount since(EventCount previous) {
    if (total < previous.total || good < previous.good) {
      return this;
    }
    return new EventCount(objective, organisation, total - previous.total, good - previous.good);
  }
}
