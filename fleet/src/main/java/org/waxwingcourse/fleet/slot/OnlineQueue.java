package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.waxwingcourse.model.time.Deadline;

/**
 * The online requests that wait for a slot, earliest deadline first. Requests that can still start
 * in time come before those that cannot: in a burst that exceeds the slots, a late answer is worth
 * little.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class OnlineQueue {
  /** How much later the deadline of a request counts for each step of rank. */
  private static final Duration DEADLINE_PENALTY_PER_RANK = Duration.ofMillis(100);

  private static final Comparator<SlotRequest> EARLIEST_DEADLINE_FIRST =
      Comparator.comparing(OnlineQueue::effectiveDeadline)
          .thenComparing(r -> r.id().host())
          .thenComparing(r -> r.id().number());

  private final TreeSet<SlotRequest> requests = new TreeSet<>(EARLIEST_DEADLINE_FIRST);
  private final Map<RunId, SlotRequest> requestsById = new HashMap<>();

  void add(SlotRequest request) {
    if (requestsById.putIfAbsent(request.id(), request) == null) {
      requests.add(request);
    }
  }

  void remove(RunId id) {
    SlotRequest removed = requestsById.remove(id);
    if (removed != null) {
      requests.remove(removed);
    }
  }

  void removeIf(Predicate<SlotRequest> filter) {
    requests.stream().filter(filter).toList().forEach(r -> remove(r.id()));
  }

  boolean contains(RunId id) {
    return requestsById.containsKey(id);
  }

  int size() {
    return requests.size();
  }

  /** Returns a view of the requests in the order of their deadlines. */
  Collection<SlotRequest> requests() {
    return Collections.unmodifiableSet(requests);
  }

  /** Returns how many waiting requests would be served before one that arrives now. */
  int countAhead(SlotRequest request) {
    return requests.headSet(request).size();
  }

  /**
   * Returns the most urgent request that can still start in time, or the most urgent one if none
   * can, without those in {@code left}. At least one must not be in {@code left}.
   */
  SlotRequest next(Set<SlotRequest> left, Instant now) {
    return requests.stream()
        .filter(r -> !left.contains(r) && !r.startBy().isPast(now))
        .findFirst()
        .orElseGet(
            () -> requests.stream().filter(r -> !left.contains(r)).findFirst().orElseThrow());
  }

  private static Deadline effectiveDeadline(SlotRequest request) {
    return Deadline.at(
        request.startBy().at().plus(DEADLINE_PENALTY_PER_RANK.multipliedBy(request.rank())));
  }
}
