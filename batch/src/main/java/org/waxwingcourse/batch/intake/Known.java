package org.waxwingcourse.batch.intake;

import io.vavr.control.Option;
import java.util.Set;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.ServiceName;

/**
 * What items can be sent to, as declared when their file comes in.
 *
 * @param models models that an engine serves
 * @param services plain services
 */
public record Known(Set<ModelName> models, Set<ServiceName> services) {
  /** Copies the sets. */
  public Known {
    models = Set.copyOf(models);
    services = Set.copyOf(services);
  }

  /** Returns what is wrong with an item's target, none if it is declared. */
  Option<String> fault(BatchItem.Target target) {
    if (target instanceof BatchItem.Model model) {
      return Option.when(
          !models.contains(model.name()), "model \"" + model.name() + "\" is not served");
    }
    ServiceName name = ((BatchItem.Service) target).name();
    return Option.when(!services.contains(name), "service \"" + name + "\" does not exist");
  }
}
