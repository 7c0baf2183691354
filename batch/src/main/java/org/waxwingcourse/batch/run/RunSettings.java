package org.waxwingcourse.batch.run;

import java.time.Duration;

/**
 * How a host runs batch work.
 *
 * @param chunks most chunks held at once; with the size of a chunk this bounds the memory
 * @param itemsInFlight most items sent and not yet answered
 * @param leaseTime how long the host's lease lasts without a renewal
 * @param poll time between two looks for work that was given up elsewhere
 * @param itemTimeout time that one try of an item may take
 * @param maxAnswerBytes largest answer to one item
 * @param maxChunkBytes largest sum of the answers to one chunk
 * @param waveItems items that may not be repeated which are sent under one stored mark
 */
public record RunSettings(
    int chunks,
    int itemsInFlight,
    Duration leaseTime,
    Duration poll,
    Duration itemTimeout,
    int maxAnswerBytes,
    int maxChunkBytes,
    int waveItems) {
  /** The settings in force. */
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
