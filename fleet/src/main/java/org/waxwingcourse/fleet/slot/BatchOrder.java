package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/** Decides in which order waiting batch requests get the slots that online requests leave. */
@FunctionalInterface
interface BatchOrder {
  /** Divides the waiting requests into those that can end in time and the others. */
  BatchPlan plan(Collection<SlotRequest> waiting, BatchLoad load, Instant now);

  /**
   * What the order depends on besides the waiting requests.
   *
   * @param slots number of slots that batch runs have had lately, on average
   * @param backlog slot time that the present batch runs still need
   * @param remaining estimates the run time that a request still needs
   */
  record BatchLoad(double slots, Duration backlog, Function<SlotRequest, Duration> remaining) {}

  /**
   * The waiting requests, those to start first at the front of each list.
   *
   * @param inTime requests that are expected to end in time if started in this order
   * @param late the others, which get the slots that the first leave
   */
  record BatchPlan(List<SlotRequest> inTime, List<SlotRequest> late) {
    public BatchPlan {
      inTime = List.copyOf(inTime);
      late = List.copyOf(late);
    }
  }
}
