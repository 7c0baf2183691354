package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.util.Map;
import org.waxwingcourse.fleet.engine.ColdTerms;
import org.waxwingcourse.model.id.OrganisationId;
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

  /** Returns the regions whose engines may get an organisation's requests on a route. */
  public HomeRegions homes(Route route, OrganisationId organisation) {
    return organisations
        .byId(organisation)
        .map(o -> route.homes().and(o.homes()))
        .getOrElse(route.homes());
  }

  /** Returns the regions that all routes of a host name allow; if they have none in common, all. */
  public HomeRegions homesOfHost(String host) {
    HomeRegions homes =
        routes.all().stream()
            .filter(r -> r.host().equalsIgnoreCase(host))
            .map(Route::homes)
            .reduce(HomeRegions.ANY, HomeRegions::and);
    return homes.isRestricted() && homes.names().isEmpty() ? HomeRegions.ANY : homes;
  }

  /** Returns what the cold engines of a service take, none if it is not stated. */
  public Option<ColdTerms> coldTerms(ServiceName service) {
    return Option.of(services.get(service)).flatMap(ServicePlan::cold);
  }
}
