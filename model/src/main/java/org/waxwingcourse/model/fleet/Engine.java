package org.waxwingcourse.model.fleet;

import java.net.URI;
import java.util.Set;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * A model engine as declared.
 *
 * @param id the engine's name
 * @param address base address of its HTTP interface
 * @param dataCentre where it stands
 * @param models the models it serves
 * @param slots streams that it is given at once
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param leaving whether it is to get no new work
 */
public record Engine(
    UpstreamId id,
    URI address,
    DataCentreId dataCentre,
    Set<ModelName> models,
    int slots,
    boolean checksFencing,
    boolean leaving) {
  /** Copies the models. */
  public Engine {
    models = Set.copyOf(models);
  }
}
