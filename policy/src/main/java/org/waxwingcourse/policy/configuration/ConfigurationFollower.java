package org.waxwingcourse.policy.configuration;

import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.fleet.FleetConfiguration;

/** Provides the configuration in force to the other components of this host. */
public final class ConfigurationFollower implements ConfigurationSource {
  private final DocumentFollower<FleetConfiguration> follower;

  /** Creates a source that returns the follower's document. */
  public ConfigurationFollower(DocumentFollower<FleetConfiguration> follower) {
    this.follower = follower;
  }

  @Override
  public Optional<FleetConfiguration> current() {
    return follower.value();
  }

  @Override
  public void onChange(Consumer<FleetConfiguration> listener) {
    follower.onChange(listener);
  }
}
