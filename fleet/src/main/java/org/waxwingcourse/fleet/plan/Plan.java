package org.waxwingcourse.fleet.plan;

import java.util.Map;
import org.waxwingcourse.model.id.ServiceName;

/**
 * One version of the configuration, whole.
 *
 * @param version the operator's number; grows with each change
 * @param routes where requests go
 * @param services what engines serve
 * @param limits bounds on callers
 * @param organisations who may call
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
