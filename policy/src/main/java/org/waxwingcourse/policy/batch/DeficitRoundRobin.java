package org.waxwingcourse.policy.batch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Deficit round robin (Shreedhar and Varghese, 1995): each flow receives the same amount of service
 * over time, whatever the size of its work items. A flow that has nothing waiting keeps no credit.
 *
 * @param <F> type of the flows between which service is divided fairly
 */
public final class DeficitRoundRobin<F> {
  private final long quantum;
  private final Deque<F> activeFlows = new ArrayDeque<>();
  private final Map<F, Long> deficits = new HashMap<>();

  /**
   * Creates a scheduler without flows.
   *
   * @param quantum credit granted to a flow in each round, in the unit of the costs
   */
  public DeficitRoundRobin(long quantum) {
    this.quantum = quantum;
  }

  /**
   * Returns the flow to serve next and charges it for the served item.
   *
   * @param backlogged the flows that have work
   * @param nextItemCost the cost of a flow's next item
   */
  public synchronized Optional<F> nextFlow(
      Collection<F> backlogged, ToLongFunction<F> nextItemCost) {
    activeFlows.removeIf(f -> !backlogged.contains(f));
    deficits.keySet().retainAll(backlogged);
    for (F flow : backlogged) {
      if (deficits.putIfAbsent(flow, 0L) == null) {
        activeFlows.addLast(flow);
      }
    }
    return activeFlows.isEmpty() ? Optional.empty() : Optional.of(selectFlow(nextItemCost));
  }

  private F selectFlow(ToLongFunction<F> nextItemCost) {
    while (true) {
      F head = activeFlows.peekFirst();
      long itemCost = nextItemCost.applyAsLong(head);
      if (deficits.get(head) >= itemCost) {
        deficits.merge(head, -itemCost, Long::sum);
        return head;
      }
      deficits.merge(head, quantum, Long::sum);
      activeFlows.addLast(activeFlows.removeFirst());
    }
  }
}
