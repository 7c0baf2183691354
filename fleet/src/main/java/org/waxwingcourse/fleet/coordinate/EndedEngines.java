package org.waxwingcourse.fleet.coordinate;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.waxwingcourse.model.time.Deadline;

/**
 * Tells engines that have ended from single answers that were lost: several runs of an engine that
 * has ended break off at the same time.
 *
 * <p>Safe for use by several threads.
 */
final class EndedEngines {
  /** Within this time the ends of the runs of an engine arrive. */
  private static final Duration WINDOW = Duration.ofMillis(300);

  private static final int MAX_ENGINES = 256;

  /** Until when another run that breaks off shows that the engine has ended. */
  private final Map<Long, Deadline> brokenOff =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Deadline> eldest) {
          return size() > MAX_ENGINES;
        }
      };

  /**
   * Records that an engine closed the connection of a run.
   *
   * @param engine hash of the engine's process
   * @return whether the engine has ended
   */
  synchronized boolean recordBreak(long engine, Instant now) {
    Deadline until = brokenOff.putIfAbsent(engine, Deadline.at(now.plus(WINDOW)));
    if (until != null && until.isPast(now)) {
      brokenOff.put(engine, Deadline.at(now.plus(WINDOW)));
    }
    return until != null && !until.isPast(now);
  }
}
