package org.waxwingcourse.standin.platform;

import java.time.Duration;

/**
 * What a platform stand-in is like.
 *
 * @param port the port, zero for any free one
 * @param hostListLag how far the host list lags behind
 * @param readsPerSecond limit for reads and watches, zero for none
 * @param writesPerSecond limit for writes and lease calls, zero for none
 * @param oneWayDelay network delay in each direction
 */
public record PlatformOptions(
    int port, Duration hostListLag, int readsPerSecond, int writesPerSecond, Duration oneWayDelay) {
  private static final Duration HOST_LIST_LAG = Duration.ofSeconds(5);
  private static final int READS_PER_SECOND = 2000;
  private static final int WRITES_PER_SECOND = 500;

  /** Returns the options of the platform as the operators describe it. */
  public static PlatformOptions onPort(int port) {
    return new PlatformOptions(
        port, HOST_LIST_LAG, READS_PER_SECOND, WRITES_PER_SECOND, Duration.ZERO);
  }
}
