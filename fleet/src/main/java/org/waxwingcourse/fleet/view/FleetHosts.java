package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.id.HostId;

/**
 * The hosts of the fleet in order of registration. Of several processes of one host only the newest
 * counts.
 */
public final class FleetHosts {
  private static final Comparator<FleetHost> EARLIEST_REGISTERED_FIRST =
      Comparator.comparing(FleetHost::registeredAt).thenComparing(FleetHost::id);

  private final List<FleetHost> registrationOrder;
  private final Map<HostId, FleetHost> byId = new HashMap<>();

  private FleetHosts(Collection<FleetHost> processes) {
    processes.forEach(p -> byId.merge(p.id(), p, FleetHosts::newer));
    registrationOrder = byId.values().stream().sorted(EARLIEST_REGISTERED_FIRST).toList();
  }

  /** Returns the hosts of the given processes. */
  public static FleetHosts of(Collection<FleetHost> processes) {
    return new FleetHosts(processes);
  }

  /** Returns the hosts in a table of store entries. */
  public static FleetHosts fromTable(StoreTable table) {
    return of(
        table.entries().stream().map(FleetHost::parse).flatMap(o -> o.toJavaStream()).toList());
  }

  /** Returns all hosts, the longest registered one first. */
  public List<FleetHost> inRegistrationOrder() {
    return registrationOrder;
  }

  /** Returns the ids of all hosts but one, the longest registered first. */
  public List<HostId> othersThan(HostId id) {
    return registrationOrder.stream().map(FleetHost::id).filter(h -> !h.equals(id)).toList();
  }

  /** Returns the newest process of a host, none if the host is not registered. */
  public Option<FleetHost> findHost(HostId id) {
    return Option.of(byId.get(id));
  }

  /** Returns the hosts that callers may be sent to. */
  public List<FleetHost> callerHosts() {
    return registrationOrder.stream().filter(FleetHost::takesCallers).toList();
  }

  private static FleetHost newer(FleetHost a, FleetHost b) {
    return a.registeredAt().isAfter(b.registeredAt()) ? a : b;
  }

  /** Returns the hosts in home regions, or all if there are none. */
  public static List<FleetHost> preferInside(List<FleetHost> hosts, HomeRegions homes) {
    List<FleetHost> inside =
        hosts.stream().filter(h -> homes.allow(Option.some(h.region()))).toList();
    return inside.isEmpty() ? hosts : inside;
  }
}
