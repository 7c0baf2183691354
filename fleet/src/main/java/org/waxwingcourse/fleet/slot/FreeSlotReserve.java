package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;

/**
 * Computes how many free slots are kept from batch requests. Where online requests arrive and end
 * at the same rate, the number of free slots is a random walk, and with {@code R} slots kept from
 * batch requests about one arrival in {@code R + 1} finds none and preempts a batch run. Each
 * preemption wastes slot time, and so does each slot that is kept free. The sum is least at {@code
 * R = sqrt(rate * cost) - 1}. Without a reserve, batch requests that fill every slot beside many
 * short online requests would mostly be preempted within some milliseconds of their start.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class FreeSlotReserve {
  /**
   * Slot time in seconds that a preemption wastes: the cancellation in transit, a new connection,
   * and processing the prompt and the events generated before once more.
   */
  private static final double PREEMPTION_COST_SECONDS = 0.05;

  /**
   * Time constant in seconds of the decaying average of the arrival rate; short compared with load
   * swings, which take seconds.
   */
  private static final double RATE_TIME_CONSTANT_SECONDS = 0.3;

  private final double preemptionCostSeconds;
  private double arrivalsPerSecond;
  private Instant lastArrivalAt = Instant.EPOCH;

  private FreeSlotReserve(double preemptionCostSeconds) {
    this.preemptionCostSeconds = preemptionCostSeconds;
  }

  /** Returns a reserve that has recorded no arrivals. */
  static FreeSlotReserve createDefault() {
    return new FreeSlotReserve(PREEMPTION_COST_SECONDS);
  }

  /** Returns a reserve that keeps no slot free. */
  static FreeSlotReserve createEmpty() {
    return new FreeSlotReserve(0);
  }

  /** Records the arrival of an online request. */
  void recordArrival(Instant now) {
    arrivalsPerSecond = arrivalRate(now) + 1 / RATE_TIME_CONSTANT_SECONDS;
    lastArrivalAt = now;
  }

  /** Returns how many free slots batch requests must leave free. */
  int reservedSlots(Instant now) {
    return Math.max(0, (int) Math.round(Math.sqrt(arrivalRate(now) * preemptionCostSeconds)) - 1);
  }

  private double arrivalRate(Instant now) {
    double seconds = Duration.between(lastArrivalAt, now).toNanos() / 1e9;
    return arrivalsPerSecond * Math.exp(-Math.max(0, seconds) / RATE_TIME_CONSTANT_SECONDS);
  }
}
