package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.slot.BatchOrder.BatchLoad;
import org.waxwingcourse.fleet.slot.BatchOrder.BatchPlan;
import org.waxwingcourse.model.time.Deadline;

/**
 * The waiting batch requests of one service in the order in which they get free slots. The order is
 * computed anew at intervals, so that its cost does not grow with the number of grants.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class BatchQueue {
  /** How long an order is used; short compared with the run time of a batch request. */
  private static final Duration PLAN_LIFETIME = Duration.ofMillis(100);

  private final BatchOrder order;
  private final Map<RunId, SlotRequest> waiting = new LinkedHashMap<>();
  private final Deque<SlotRequest> planned = new ArrayDeque<>();
  private Deadline planExpiry = Deadline.at(Instant.MIN);

  BatchQueue(BatchOrder order) {
    this.order = order;
  }

  void add(SlotRequest request) {
    waiting.put(request.id(), request);
  }

  boolean contains(RunId id) {
    return waiting.containsKey(id);
  }

  void remove(RunId id) {
    waiting.remove(id);
  }

  void removeIf(Predicate<SlotRequest> filter) {
    waiting.values().removeIf(filter);
  }

  Collection<SlotRequest> requests() {
    return waiting.values();
  }

  int size() {
    return waiting.size();
  }

  /**
   * Returns the request that passes the filter to try an engine with that may be lost, if possible
   * one that has not failed there.
   */
  Option<SlotRequest> findProbe(EngineEntry engine, Predicate<SlotRequest> filter) {
    Option<SlotRequest> fallback = Option.none();
    for (SlotRequest request : waiting.values()) {
      if (request.accepts(engine) && filter.test(request)) {
        if (!request.avoidedEngines().contains(engine.id())) {
          return Option.some(request);
        }
        fallback = fallback.orElse(Option.some(request));
      }
    }
    return fallback;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Computes the order anew if the present one has expired or has no waiting request left. */
  void updatePlan(Supplier<BatchLoad> load, Instant now) {
    if (planExpiry.isPast(now) || (first().isEmpty() && !waiting.isEmpty())) {
      BatchPlan plan = order.plan(waiting.values(), load.get(), now);
      planned.clear();
      planned.addAll(plan.inTime());
      planned.addAll(plan.late());
      planExpiry = Deadline.at(now.plus(PLAN_LIFETIME));
    }
  }

  /** Returns the request that is to start next, none if no planned request waits any more. */
  Option<SlotRequest> first() {
    while (!planned.isEmpty() && !waiting.containsKey(planned.peekFirst().id())) {
      planned.pollFirst();
    }
    return Option.of(planned.peekFirst());
  }

  /** Returns the planned request that is to start next without those in {@code left}. */
  Option<SlotRequest> firstExcept(Set<SlotRequest> left) {
    return Option.ofOptional(
        planned.stream().filter(r -> waiting.containsKey(r.id()) && !left.contains(r)).findFirst());
  }

  /** Returns the first request without those in {@code left}, whether it is planned or not. */
  Option<SlotRequest> firstWaitingExcept(Set<SlotRequest> left) {
    return Option.ofOptional(waiting.values().stream().filter(r -> !left.contains(r)).findFirst());
  }
}
