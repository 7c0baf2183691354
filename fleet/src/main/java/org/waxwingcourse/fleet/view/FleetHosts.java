package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.HostId;

/** The hosts of the fleet, each by its newest process, in the order in which they registered. */
public final class FleetHosts {
  private static final Comparator<FleetHost> EARLIEST_FIRST =
      Comparator.comparing(FleetHost::registered).thenComparing(FleetHost::id);

  private final List<FleetHost> ordered;
  private final Map<HostId, FleetHost> byId = new HashMap<>();

  private FleetHosts(Collection<FleetHost> processes) {
    processes.forEach(p -> byId.merge(p.id(), p, FleetHosts::newer));
    ordered = byId.values().stream().sorted(EARLIEST_FIRST).toList();
  }

  /** Returns the hosts among the given processes. */
  public static FleetHosts of(Collection<FleetHost> processes) {
    return new FleetHosts(processes);
  }

  /** Returns the hosts that a table of entries names. */
  public static FleetHosts read(EntryTable table) {
    return of(
        table.entries().stream().map(FleetHost::read).flatMap(o -> o.toJavaStream()).toList());
  }

  /** Returns all hosts, the longest registered first. */
  public List<FleetHost> ordered() {
    return ordered;
  }

  /** Returns the newest process of a host. */
  public Option<FleetHost> get(HostId id) {
    return Option.of(byId.get(id));
  }

  /** Returns the hosts that callers may be sent to. */
  public List<FleetHost> callerHosts() {
    return ordered.stream().filter(FleetHost::takesCallers).toList();
  }

  private static FleetHost newer(FleetHost a, FleetHost b) {
    return a.registered().isAfter(b.registered()) ? a : b;
  }
}
