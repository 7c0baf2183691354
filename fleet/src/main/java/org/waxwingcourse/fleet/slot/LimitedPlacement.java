package org.waxwingcourse.fleet.slot;

import java.time.Instant;

/** Computes what a start on an engine with a limit costs, in units of one busy slot. */
@FunctionalInterface
interface LimitedPlacement {
  /** More than the slots of an engine and all bonuses count together. */
  double DECISIVE_COST = 32;

  /** Returns the cost, lower for a better engine; of an engine whose starts are limited only. */
  double cost(SlotRequest request, StartLimiter starts, Instant now);

  /**
   * Returns the default. The few starts of engines with a limit are kept for batch runs, which last
   * longest; online requests go there if other engines have no free slot. A start that would expire
   * unused costs nothing, and shows whether the engine still needs its limit. An engine that is
   * only cold takes about as many requests as its slots serve, and is used like any other.
   */
  static LimitedPlacement createDefault() {
    return (request, starts, now) -> {
      if (!starts.isLimitedByNeed(now)) {
        return 0;
      }
      if (!request.isOnline()) {
        return -DECISIVE_COST;
      }
      return starts.isFull(now) ? 0 : DECISIVE_COST;
    };
  }
}
