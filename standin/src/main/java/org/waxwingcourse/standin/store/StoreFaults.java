package org.waxwingcourse.standin.store;

import java.time.Duration;

/**
 * The lasting faults of a store.
 *
 * @param outage whether and how the store is out
 * @param delay added before each answer, after the call has taken effect
 * @param readsPerSecond limit for reads and watches, zero for none
 * @param writesPerSecond limit for writes and lease calls, zero for none
 * @param watchLag how late watches hear of a change
 * @param watchSilent whether watches hear nothing, without being told
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

  /** How the store is out. */
  public enum Outage {
    /** It answers. */
    NONE,
    /** It refuses connections: nothing is sent, watches break. */
    REFUSING,
    /** It takes calls and never answers; writes have no effect, watches hear nothing. */
    SILENT
  }

  /** Returns the same faults with another outage. */
  public StoreFaults withOutage(Outage newOutage) {
    return new StoreFaults(
        newOutage, delay, readsPerSecond, writesPerSecond, watchLag, watchSilent);
  }

  /** Returns the same faults with another delay before each answer. */
  public StoreFaults withDelay(Duration newDelay) {
    return new StoreFaults(
        outage, newDelay, readsPerSecond, writesPerSecond, watchLag, watchSilent);
  }

  /** Returns the same faults with other rate limits, zero for none. */
  public StoreFaults withRates(int reads, int writes) {
    return new StoreFaults(outage, delay, reads, writes, watchLag, watchSilent);
  }

  /** Returns the same faults with another lag of watches. */
  public StoreFaults withWatchLag(Duration lag) {
    return new StoreFaults(outage, delay, readsPerSecond, writesPerSecond, lag, watchSilent);
  }

  /** Returns the same faults with watches silent or not. */
  public StoreFaults withWatchSilent(boolean silent) {
    return new StoreFaults(outage, delay, readsPerSecond, writesPerSecond, watchLag, silent);
  }
}
