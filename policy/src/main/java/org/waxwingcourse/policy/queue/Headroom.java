package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.Instant;

/**
 * Determines how many streams an engine may run while online streams are among them. A token of an
 * online stream takes the step time of the number of streams that run. Batch streams may be added
 * up to the number of streams that online work alone reaches for more than half of its tokens. Most
 * of the online latency distribution, including its tail, is then determined by online work itself,
 * because no batch streams are added above that number. An engine whose step time increases by less
 * than a fraction of {@value #FLAT_STEP_TOLERANCE} when it is full is filled completely.
 *
 * <p>Not thread-safe; guarded by the lock of the queue that contains it.
 */
final class Headroom {
  private static final double ONLINE_TOKEN_SHARE = 0.53;
  private static final double FLAT_STEP_TOLERANCE = 0.01;
  private static final double HALF_LIFE_SECONDS = 300;

  private final StepTime stepTime;
  private final double[] onlineSeconds;
  private Instant lastUpdate;
  private int online;

  Headroom(int maxStreams, Instant now) {
    this.onlineSeconds = new double[maxStreams + 1];
    this.stepTime = new StepTime(maxStreams);
    this.lastUpdate = now;
  }

  /** Records a change of the number of online streams. */
  void recordOnlineStreams(int streams, Instant now) {
    double seconds = Duration.between(lastUpdate, now).toNanos() / 1e9;
    double decay = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    for (int i = 0; i < onlineSeconds.length; i++) {
      onlineSeconds[i] *= decay;
    }
    onlineSeconds[Math.min(online, onlineSeconds.length - 1)] += online * seconds;
    online = streams;
    lastUpdate = now;
  }

  /**
   * Records that a token was received {@code millis} after the previous one while {@code streams}
   * streams ran.
   */
  void observe(int streams, double millis) {
    stepTime.observe(streams, millis);
  }

  /** Returns the maximum number of streams, online streams included, while online streams run. */
  int streamLimit() {
    int typical = typicalOnlineStreams();
    return stepTime.isFlat(typical, FLAT_STEP_TOLERANCE) ? onlineSeconds.length - 1 : typical;
  }

  private int typicalOnlineStreams() {
    double total = 0;
    for (double seconds : onlineSeconds) {
      total += seconds;
    }
    double reached = 0;
    for (int n = onlineSeconds.length - 1; n > 0; n--) {
      reached += onlineSeconds[n];
      if (reached > ONLINE_TOKEN_SHARE * total) {
        return n;
      }
    }
    return 0;
  }
}
