package org.waxwingcourse.policy.queue;

/**
 * The exact load of an engine as counted by its owner.
 *
 * @param slots number of streams that may run at the same time
 * @param online running online streams
 * @param batch running batch streams
 * @param onlineWaiting waiting online requests
 * @param batchWaiting waiting batch requests
 */
public record EngineLoad(int slots, int online, int batch, int onlineWaiting, int batchWaiting) {
  /**
   * Returns the number of online requests per slot; one or more means that a new online request
   * waits.
   */
  public double onlinePerSlot() {
    return (online + onlineWaiting) / (double) slots;
  }

  /** Returns the number of requests per slot. */
  public double perSlot() {
    return (online + onlineWaiting + batch + batchWaiting) / (double) slots;
  }
}
