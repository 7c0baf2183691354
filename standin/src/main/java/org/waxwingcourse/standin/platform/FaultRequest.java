package org.waxwingcourse.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.waxwingcourse.standin.store.StoreFaults;

/**
 * The body of {@code POST /control/faults}. It replaces all persistent faults; an absent field
 * means no fault.
 *
 * @param outage "none", "refusing" (connections are reset without a response) or "silent"
 * @param delayMillis delay before each response, in milliseconds
 * @param readsPerSecond rate limit for reads and watches, zero for no limit
 * @param writesPerSecond rate limit for writes and lease calls, zero for no limit
 * @param watchLagMillis time until watches receive a change, in milliseconds
 * @param watchSilent whether watches receive no changes
 * @param loseAnswers number of next writes that take effect without a response
 */
record FaultRequest(
    String outage,
    @JsonProperty("delay_ms") long delayMillis,
    int readsPerSecond,
    int writesPerSecond,
    @JsonProperty("watch_lag_ms") long watchLagMillis,
    boolean watchSilent,
    int loseAnswers) {
  Optional<StoreFaults> toStoreFaults() {
    return parseOutage().map(this::faultsWith);
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

  private Optional<StoreFaults.Outage> parseOutage() {
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
