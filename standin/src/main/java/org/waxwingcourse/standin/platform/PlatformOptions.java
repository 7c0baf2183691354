package org.waxwingcourse.standin.platform;

import java.time.Duration;

/**
 * The options of a platform stand-in.
 *
 * @param port the port to listen on, or zero for any free port
 * @param hostListLag lag of the host list
 * @param readsPerSecond rate limit for reads and watches, zero for no limit
 * @param writesPerSecond rate limit for writes and lease calls, zero for no limit
 * @param oneWayDelay network delay in each direction
 */
public record PlatformOptions(
    int port, Duration hostListLag, int readsPerSecond, int writesPerSecond, Duration oneWayDelay) {
  private static final Duration DEFAULT_HOST_LIST_LAG = Duration.ofSeconds(5);
  private static final int DEFAULT_READS_PER_SECOND = 2000;
  private static final int DEFAULT_WRITES_PER_SECOND = 500;

  /** Returns options with the lag and the rate limits that the platform operators specify. */
  public static PlatformOptions onPort(int port) {
    return new PlatformOptions(
        port,
        DEFAULT_HOST_LIST_LAG,
        DEFAULT_READS_PER_SECOND,
        DEFAULT_WRITES_PER_SECOND,
        Duration.ZERO);
  }
}
