package org.waxwingcourse.fleet.coordinate;

import org.waxwingcourse.fleet.reach.ReachMonitor;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.Ping;

/** The part of pings by which hosts that reach no engine make that known. */
final class ReachExchange {
  private final HostId self;
  private final Coordinator coordinator;
  private final ReachMonitor reach;

  ReachExchange(HostId self, Coordinator coordinator, ReachMonitor reach) {
    this.self = self;
    this.coordinator = coordinator;
    this.reach = reach;
  }

  void addTo(Ping.Builder ping) {
    ping.setEnginesOutOfReach(reach.isOutOfReach());
  }

  void apply(HostId from, Ping ping) {
    coordinator.setOutOfReach(from, ping.getEnginesOutOfReach());
  }

  /** Updates what this host knows of itself as the coordinator. */
  void updateOwn() {
    coordinator.setOutOfReach(self, reach.isOutOfReach());
  }
}
