package org.waxwingcourse.policy.queue;

/**
 * The exact load of an engine, as its owner counts it.
 *
 * @param slots streams that it is given at once
 * @param online online streams that run
 * @param batch batch streams that run
 * @param onlineWaiting online requests that wait
 * @param batchWaiting batch requests that wait
 */
public record EngineLoad(int slots, int online, int batch, int onlineWaiting, int batchWaiting) {
  /** Returns the online work for each slot; one or more means that an online request waits. */
  public double onlinePerSlot() {
    return (online + onlineWaiting) / (double) slots;
  }

  /** Returns all work for each slot. */
  public double perSlot() {
    return (online + onlineWaiting + batch + batchWaiting) / (double) slots;
  }
}
