package org.waxwingcourse.batch.run;

import java.time.Duration;

/**
 * The limits and intervals of a host's batch work.
 *
 * @param maxChunks the maximum number of chunks held at once, which together with the chunk size
 *     bounds memory use
 * @param maxItemsInFlight the maximum number of items in flight
 * @param leaseTimeToLive how long the host's lease lasts without a renewal
 * @param pollInterval the interval at which jobs without free chunks are inspected for chunks that
 *     another host released
 * @param attemptTimeout the time limit of one attempt of an item
 * @param maxAnswerBytes the maximum length of the response to an item in bytes
 * @param maxChunkBytes the maximum total length of the responses in a chunk
 * @param checkpointItems the number of non-repeatable items that each stored checkpoint adds
 */
public record RunSettings(
    int maxChunks,
    int maxItemsInFlight,
    Duration leaseTimeToLive,
    Duration pollInterval,
    Duration attemptTimeout,
    int maxAnswerBytes,
    int maxChunkBytes,
    int checkpointItems) {
  /** The settings used in production. */
  public static final RunSettings STANDARD =
      new RunSettings(
          8,
          64,
          Duration.ofSeconds(120),
          Duration.ofSeconds(30),
          Duration.ofMinutes(10),
          1_000_000,
          8_000_000,
          32);
}
