package org.waxwingcourse.policy.queue;

/**
 * Limits of one engine's queue.
 *
 * @param slots number of streams that the engine may run at the same time
 * @param maxWaitingOnline maximum number of waiting online requests
 * @param maxWaitingBatch maximum number of waiting batch requests
 * @param batchEnabled whether batch requests are accepted
 */
public record QueueLimits(
    int slots, int maxWaitingOnline, int maxWaitingBatch, boolean batchEnabled) {
  private static final int WAITING_ONLINE_PER_SLOT = 16;
  private static final int WAITING_BATCH_PER_SLOT = 2;

  /** Returns the limits for an engine with the given number of slots. */
  public static QueueLimits ofSlots(int slots) {
    return new QueueLimits(
        slots, slots * WAITING_ONLINE_PER_SLOT, slots * WAITING_BATCH_PER_SLOT, true);
  }
}
