package org.waxwingcourse.model.fleet;

import java.util.Optional;
import java.util.function.Consumer;

/** Provides the configuration in force on this host. Implementations are thread-safe. */
public interface ConfigurationSource {
  /** Returns the configuration in force, or empty if none has been received yet. */
  Optional<FleetConfiguration> current();

  /** Adds a listener that is called after each change, in the order of revisions. */
  void onChange(Consumer<FleetConfiguration> listener);
}
