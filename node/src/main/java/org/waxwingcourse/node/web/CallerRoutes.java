package org.waxwingcourse.node.web;

import java.util.List;
import org.waxwingcourse.http.server.Routes;

/** The routes for online requests of callers. */
public final class CallerRoutes {
  private CallerRoutes() {}

  /** Returns the routes, backed by {@code ports}. */
  public static List<Routes> of(CallerPorts ports) {
    RequestChecks checks = new RequestChecks(ports);
    return List.of(new ChatRoutes(ports, checks), new ServiceRoutes(ports, checks));
  }
}
