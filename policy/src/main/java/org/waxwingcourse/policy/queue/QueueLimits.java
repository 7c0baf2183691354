package org.waxwingcourse.policy.queue;

/**
 * Bounds of one engine's queue.
 *
 * @param slots streams that the engine is given at once
 * @param maxOnline online requests that may wait
 * @param maxBatch batch requests that may wait
 * @param batchOn whether batch work is taken at all
 */
public record QueueLimits(int slots, int maxOnline, int maxBatch, boolean batchOn) {
  private static final int ONLINE_PER_SLOT = 16;
  private static final int BATCH_PER_SLOT = 2;

  /** Returns the limits for an engine with that many slots. */
  public static QueueLimits ofSlots(int slots) {
    return new QueueLimits(slots, slots * ONLINE_PER_SLOT, slots * BATCH_PER_SLOT, true);
  }
}
