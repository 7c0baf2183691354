package org.waxwingcourse.policy.batch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Deficit round robin (Shreedhar and Varghese, 1995): each party gets the same amount of work over
 * time, whatever the size of its pieces. A party that has nothing waiting keeps no credit.
 *
 * @param <P> the party that is to be served fairly
 */
public final class DeficitRoundRobin<P> {
  private final long quantum;
  private final Deque<P> ring = new ArrayDeque<>();
  private final Map<P, Long> deficits = new HashMap<>();

  /**
   * Creates an empty ring.
   *
   * @param quantum work granted to a party in each round, in the unit of the costs
   */
  public DeficitRoundRobin(long quantum) {
    this.quantum = quantum;
  }

  /**
   * Returns the party to be served next and charges it.
   *
   * @param waiting the parties that have work
   * @param cost the size of the piece that a party would be served
   */
  public synchronized Optional<P> next(Collection<P> waiting, ToLongFunction<P> cost) {
    ring.removeIf(p -> !waiting.contains(p));
    deficits.keySet().retainAll(waiting);
    for (P party : waiting) {
      if (deficits.putIfAbsent(party, 0L) == null) {
        ring.addLast(party);
      }
    }
    return ring.isEmpty() ? Optional.empty() : Optional.of(serve(cost));
  }

  private P serve(ToLongFunction<P> cost) {
    while (true) {
      P head = ring.peekFirst();
      long price = cost.applyAsLong(head);
      if (deficits.get(head) >= price) {
        deficits.merge(head, -price, Long::sum);
        return head;
      }
      deficits.merge(head, quantum, Long::sum);
      ring.addLast(ring.removeFirst());
    }
  }
}
