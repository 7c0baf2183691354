package org.waxwingcourse.model.fleet;

import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * The complete configuration at one revision of the store, with all exceptions applied.
 *
 * @param revision the revision at which the store accepted the configuration
 * @param defaults the fleet-wide settings
 * @param organisations the organisations by name
 * @param engines the engines by name
 * @param services the plain services by name
 * @param exceptions the applied exceptions, for display to operators
 */
public record FleetConfiguration(
    Revision revision,
    Defaults defaults,
    Map<OrganisationId, Organisation> organisations,
    Map<UpstreamId, Engine> engines,
    Map<ServiceName, PlainService> services,
    List<DeclaredException> exceptions) {
  /** Makes immutable copies of the collections. */
  public FleetConfiguration {
    organisations = Map.copyOf(organisations);
    engines = Map.copyOf(engines);
    services = Map.copyOf(services);
    exceptions = List.copyOf(exceptions);
  }

  /** Returns a copy of this configuration with the given revision. */
  public FleetConfiguration at(Revision accepted) {
    return new FleetConfiguration(accepted, defaults, organisations, engines, services, exceptions);
  }
}
