package org.waxwingcourse.fleet.coordinate;

import java.util.List;
import java.util.function.Predicate;
import org.waxwingcourse.model.id.HostId;

/**
 * Chooses the host that hands out slots: the longest registered host that answers and reads the
 * store itself, else the longest registered one that answers, else this host. Hosts with the same
 * view choose alike without talking about it, and a host that restarts goes to the end of the order
 * so that the choice does not swing back. Nothing correct rests on there being one coordinator: two
 * that do not know of each other each admit the part of the rates and slots that their hosts make
 * up.
 */
public final class CoordinatorChoice {
  private CoordinatorChoice() {}

  /**
   * Returns the coordinator for this host.
   *
   * @param order hosts that may coordinate, the longest registered first
   * @param self this host, always counted as answering
   * @param answers whether a host has lately answered
   * @param inContact whether a host reads the store itself
   */
  public static HostId choose(
      List<HostId> order, HostId self, Predicate<HostId> answers, Predicate<HostId> inContact) {
    Predicate<HostId> reachable = h -> h.equals(self) || answers.test(h);
    return order.stream()
        .filter(reachable.and(inContact))
        .findFirst()
        .or(() -> order.stream().filter(reachable).findFirst())
        .orElse(self);
  }
}
