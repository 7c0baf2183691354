package org.waxwingcourse.fleet.slot;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * A queue of requests that took their organisation's token before it was available and wait until
 * then. An organisation that sends bursts within its rate thus has requests delayed by milliseconds
 * instead of refused.
 *
 * <p>Safe for use by several threads.
 */
public final class PacedRequests {
  private final PriorityQueue<Paced> queue =
      new PriorityQueue<>(Comparator.comparing(Paced::releaseAt));

  private record Paced(SlotRequest request, Instant releaseAt) {}

  /** Holds a request until {@code releaseAt}. */
  public synchronized void add(SlotRequest request, Instant releaseAt) {
    queue.add(new Paced(request, releaseAt));
  }

  /** Removes and returns the requests whose waiting time is over. */
  public synchronized List<SlotRequest> removeDue(Instant now) {
    List<SlotRequest> due = new ArrayList<>();
    while (!queue.isEmpty() && !queue.peek().releaseAt.isAfter(now)) {
      due.add(queue.poll().request);
    }
    return due;
  }

  /** Returns whether no request is held. */
  public synchronized boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Returns whether a request is held. */
  public synchronized boolean contains(RunId id) {
    return queue.stream().anyMatch(p -> p.request.id().equals(id));
  }

  /** Removes the requests of all runs that match. */
  public synchronized void removeIf(Predicate<RunId> filter) {
    queue.removeIf(p -> filter.test(p.request.id()));
  }

  /** Removes and returns the requests that match. */
  public synchronized List<SlotRequest> removeWaiting(Predicate<SlotRequest> filter) {
    List<SlotRequest> removed = queue.stream().map(Paced::request).filter(filter).toList();
    queue.removeIf(p -> removed.contains(p.request));
    return removed;
  }
}
