package org.waxwingcourse.model.fleet;

import java.util.Optional;
import java.util.function.Consumer;

/** The configuration in force on this host. Safe for use by several threads. */
public interface ConfigurationSource {
  /** Returns the configuration in force, empty until the first has arrived. */
  Optional<FleetConfiguration> current();

  /** Calls the listener after each change, in order of revisions. */
  void onChange(Consumer<FleetConfiguration> listener);
}
