package org.waxwingcourse.batch.intake;

import io.vavr.control.Option;
import java.util.Set;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.ServiceName;

/**
 * The models and services that are declared when a file is uploaded.
 *
 * @param models the models that an engine serves
 * @param services the plain services
 */
public record DeclaredTargets(Set<ModelName> models, Set<ServiceName> services) {
  /** Copies the sets. */
  public DeclaredTargets {
    models = Set.copyOf(models);
    services = Set.copyOf(services);
  }

  /** Returns an error message if an item's target is not declared, or none if it is. */
  Option<String> findProblem(BatchItem.Target target) {
    if (target instanceof BatchItem.Model model) {
      return Option.when(
          !models.contains(model.name()), "model \"" + model.name() + "\" is not served");
    }
    ServiceName name = ((BatchItem.Service) target).name();
    return Option.when(!services.contains(name), "service \"" + name + "\" does not exist");
  }
}
