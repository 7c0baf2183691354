package org.waxwingcourse.fleet.coordinate;

import java.util.List;
import java.util.function.Predicate;
import org.waxwingcourse.model.id.HostId;

/**
 * Chooses the coordinator: the longest registered host that answers and reads the store itself,
 * else the longest registered host that answers, else this host. Hosts with the same view make the
 * same choice without exchanging messages, and a host that restarts moves to the end of the order
 * so that the choice does not change back. Correctness does not depend on a single coordinator: two
 * coordinators that do not know of each other each admit only the share of the rates and slots that
 * corresponds to their attached hosts.
 */
public final class CoordinatorChoice {
  private CoordinatorChoice() {}

  /**
   * Returns the coordinator for this host.
   *
   * @param order hosts that may coordinate, the longest registered one first
   * @param self this host, which always counts as answering
   * @param isAnswering whether a host has answered recently
   * @param readsStore whether a host reads the store itself
   */
  public static HostId choose(
      List<HostId> order,
      HostId self,
      Predicate<HostId> isAnswering,
      Predicate<HostId> readsStore) {
    Predicate<HostId> reachable = h -> h.equals(self) || isAnswering.test(h);
    return order.stream()
        .filter(reachable.and(readsStore))
        .findFirst()
        .or(() -> order.stream().filter(reachable).findFirst())
        .orElse(self);
  }
}
