package org.waxwingcourse.policy.queue;

/**
 * Limits of one engine's queue.
 *
 * @param slots number of streams that the engine may run at the same time
 * @param maxOnline maximum number of waiting online requests
 * @param maxBatch maximum number of waiting batch requests
 * @param batchOn whether batch requests are accepted
 */
public record QueueLimits(int slots, int maxOnline, int maxBatch, boolean batchOn) {
  private static final int ONLINE_PER_SLOT = 16;
  private static final int BATCH_PER_SLOT = 2;

  /** Returns the limits for an engine with the given number of slots. */
  public static QueueLimits ofSlots(int slots) {
    return new QueueLimits(slots, slots * ONLINE_PER_SLOT, slots * BATCH_PER_SLOT, true);
  }
}
