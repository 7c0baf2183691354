package org.waxwingcourse.fleet.plan;

import java.util.Map;
import org.waxwingcourse.model.id.ServiceName;

/**
 * One complete version of the configuration.
 *
 * @param version version number set by the operator; grows with each change
 * @param routes the routes by which requests reach services
 * @param services the services that engines provide, by name
 * @param limits limits on the requests of callers
 * @param organisations the organisations that may send requests
 */
public record Plan(
    long version,
    RouteTable routes,
    Map<ServiceName, ServicePlan> services,
    CallerLimits limits,
    OrganisationTable organisations) {
  /** Copies the services. */
  public Plan {
    services = Map.copyOf(services);
  }
}
