package org.waxwingcourse.model.fleet;

import java.net.URI;
import java.util.Set;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * A declared model engine.
 *
 * @param id the name of the engine
 * @param address the base address of its HTTP interface
 * @param dataCentre the data centre of the engine
 * @param models the models it serves
 * @param slots the maximum number of concurrent streams
 * @param checksFencing whether the engine rejects orders with an outdated fencing number
 * @param leaving whether the engine is to get no new work
 */
public record Engine(
    UpstreamId id,
    URI address,
    DataCentreId dataCentre,
    Set<ModelName> models,
    int slots,
    boolean checksFencing,
    boolean leaving) {
  /** Makes an immutable copy of the models. */
  public Engine {
    models = Set.copyOf(models);
  }
}
