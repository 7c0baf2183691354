package org.waxwingcourse.node.web;

import java.util.List;
import org.waxwingcourse.http.server.Routes;

/** All routes that serve the online path. */
public final class CallerRoutes {
  private CallerRoutes() {}

  /** Returns the routes over the node's ports. */
  public static List<Routes> of(CallerPorts ports) {
    Gate gate = new Gate(ports);
    return List.of(new ChatRoutes(ports, gate), new ServiceRoutes(ports, gate));
  }
}
