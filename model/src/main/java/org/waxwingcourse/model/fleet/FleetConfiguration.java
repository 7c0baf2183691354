package org.waxwingcourse.model.fleet;

import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * The whole configuration in force at one revision of the store, exceptions already applied.
 *
 * @param revision the store's revision that accepted it
 * @param defaults fleet-wide settings
 * @param organisations by name
 * @param engines by name
 * @param services by name
 * @param exceptions the exceptions that were applied, for operators to read
 */
public record FleetConfiguration(
    Revision revision,
    Defaults defaults,
    Map<OrganisationId, Organisation> organisations,
    Map<UpstreamId, Engine> engines,
    Map<ServiceName, PlainService> services,
    List<DeclaredException> exceptions) {
  /** Copies the collections. */
  public FleetConfiguration {
    organisations = Map.copyOf(organisations);
    engines = Map.copyOf(engines);
    services = Map.copyOf(services);
    exceptions = List.copyOf(exceptions);
  }

  /** Returns the same configuration as accepted at {@code accepted}. */
  public FleetConfiguration at(Revision accepted) {
    return new FleetConfiguration(accepted, defaults, organisations, engines, services, exceptions);
  }
}
