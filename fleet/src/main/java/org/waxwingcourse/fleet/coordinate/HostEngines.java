package org.waxwingcourse.fleet.coordinate;

import java.util.List;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.UpstreamId;

/** What a host knows of the engines, for its requests for slots. */
@FunctionalInterface
public interface HostEngines {
  /** Returns the engines to which the host has an idle connection, most recently used first. */
  List<UpstreamId> connected();

  /** Learns of an engine that the coordinator knows and this host may not. */
  default void learn(EngineEntry entry) {}
}
