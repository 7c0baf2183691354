package org.waxwingcourse.fleet.slot;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Requests that have taken their organisation's token ahead of its time and wait for it. Answers an
 * organisation that comes in bursts inside its rate: its requests are late by milliseconds instead
 * of refused.
 *
 * <p>Safe for use by several threads.
 */
public final class PacedRequests {
  private final PriorityQueue<Paced> queue = new PriorityQueue<>(Comparator.comparing(Paced::at));

  private record Paced(SlotRequest request, Instant at) {}

  /** Keeps a request until {@code at}. */
  public synchronized void add(SlotRequest request, Instant at) {
    queue.add(new Paced(request, at));
  }

  /** Returns the requests whose time has come, and forgets them. */
  public synchronized List<SlotRequest> due(Instant now) {
    List<SlotRequest> due = new ArrayList<>();
    while (!queue.isEmpty() && !queue.peek().at.isAfter(now)) {
      due.add(queue.poll().request);
    }
    return due;
  }

  /** Tells whether a request is kept. */
  public synchronized boolean contains(RunId id) {
    return queue.stream().anyMatch(p -> p.request.id().equals(id));
  }

  /** Forgets requests that are no longer wanted. */
  public synchronized void removeIf(Predicate<RunId> unwanted) {
    queue.removeIf(p -> unwanted.test(p.request.id()));
  }
}
