package org.waxwingcourse.fleet.coordinate;

import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

/** The parts of pings and pongs by which hosts tell one another what engines said in answers. */
final class EngineStatementExchange {
  private final EngineDirectory engines;

  EngineStatementExchange(EngineDirectory engines) {
    this.engines = engines;
  }

  void addTo(Ping.Builder ping) {
    ping.addAllLeaving(FleetMessageConverter.encodeBoots(engines.leavingByAnswer()));
  }

  void addTo(Pong.Builder pong) {
    pong.addAllLeaving(FleetMessageConverter.encodeBoots(engines.leavingByAnswer()));
  }

  void apply(HostId from, Ping ping) {
    engines.learnLeaving(FleetMessageConverter.toBoots(ping.getLeavingList()), from);
  }

  void apply(HostId from, Pong pong) {
    engines.learnLeaving(FleetMessageConverter.toBoots(pong.getLeavingList()), from);
  }
}
