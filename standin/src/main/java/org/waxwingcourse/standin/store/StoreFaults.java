package org.waxwingcourse.standin.store;

import java.time.Duration;

/**
 * The persistent faults of a store.
 *
 * @param outage whether and how the store is unavailable
 * @param delay added before each response, after the call has taken effect
 * @param readsPerSecond rate limit for reads and watches, zero for no limit
 * @param writesPerSecond rate limit for writes and lease calls, zero for no limit
 * @param watchLag time until watches receive a change
 * @param watchSilent whether watches receive no changes and no error
 */
public record StoreFaults(
    Outage outage,
    Duration delay,
    int readsPerSecond,
    int writesPerSecond,
    Duration watchLag,
    boolean watchSilent) {
  /** No fault. */
  public static final StoreFaults NONE =
      new StoreFaults(Outage.NONE, Duration.ZERO, 0, 0, Duration.ZERO, false);

  /** The kind of unavailability of a store. */
  public enum Outage {
    /** The store is available. */
    NONE,
    /** The store refuses connections: no request is sent, and watches fail. */
    REFUSING,
    /**
     * The store accepts connections and never responds; writes have no effect, and watches receive
     * nothing.
     */
    SILENT
  }

  /** Returns the same faults with another outage. */
  public StoreFaults withOutage(Outage newOutage) {
    return new StoreFaults(
        newOutage, delay, readsPerSecond, writesPerSecond, watchLag, watchSilent);
  }

  /** Returns the same faults with another delay before each response. */
  public StoreFaults withDelay(Duration newDelay) {
    return new StoreFaults(
        outage, newDelay, readsPerSecond, writesPerSecond, watchLag, watchSilent);
  }

  /** Returns the same faults with other rate limits in calls per second, zero for no limit. */
  public StoreFaults withRates(int reads, int writes) {
    return new StoreFaults(outage, delay, reads, writes, watchLag, watchSilent);
  }

  /** Returns the same faults with another lag for watches. */
  public StoreFaults withWatchLag(Duration lag) {
    return new StoreFaults(outage, delay, readsPerSecond, writesPerSecond, lag, watchSilent);
  }

  /** Returns the same faults with watches silenced or not. */
  public StoreFaults withWatchSilent(boolean silent) {
    return new StoreFaults(outage, delay, readsPerSecond, writesPerSecond, watchLag, silent);
  }
}
