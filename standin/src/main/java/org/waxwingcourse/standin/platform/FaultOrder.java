package org.waxwingcourse.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.waxwingcourse.standin.store.StoreFaults;

/**
 * The body of {@code POST /control/faults}. It replaces all lasting faults; an absent field is no
 * fault.
 *
 * @param outage "none", "refusing" (connections are closed without an answer) or "silent"
 * @param delayMillis added before each answer
 * @param readsPerSecond limit for reads and watches, zero for none
 * @param writesPerSecond limit for writes and lease calls, zero for none
 * @param watchLagMillis how late watches hear of a change
 * @param watchSilent whether watches hear nothing
 * @param loseAnswers how many of the next writes take effect without an answer
 */
record FaultOrder(
    String outage,
    @JsonProperty("delay_ms") long delayMillis,
    int readsPerSecond,
    int writesPerSecond,
    @JsonProperty("watch_lag_ms") long watchLagMillis,
    boolean watchSilent,
    int loseAnswers) {
  Optional<StoreFaults> faults() {
    return outageNamed().map(this::faultsWith);
  }

  private StoreFaults faultsWith(StoreFaults.Outage kind) {
    return new StoreFaults(
        kind,
        Duration.ofMillis(delayMillis),
        readsPerSecond,
        writesPerSecond,
        Duration.ofMillis(watchLagMillis),
        watchSilent);
  }

  private Optional<StoreFaults.Outage> outageNamed() {
    if (outage == null) {
      return Optional.of(StoreFaults.Outage.NONE);
    }
    for (StoreFaults.Outage kind : StoreFaults.Outage.values()) {
      if (kind.name().toLowerCase(Locale.ROOT).equals(outage)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
