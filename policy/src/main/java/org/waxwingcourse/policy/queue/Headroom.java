package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.Instant;

/**
 * Says how many streams an engine may run while online work is among them. An online token that
 * shares its step with {@code n} streams waits for a step of {@code n}. Batch may fill up to the
 * number of streams that online work alone reaches for more than half of its tokens: most of
 * online, with its tail, is then made by online itself, and batch stands aside above it. An engine
 * whose steps are learned to cost less than {@value #SHARE} more when it is full is filled whole.
 *
 * <p>Not safe for use by several threads; the queue that holds it has the lock.
 */
final class Headroom {
  private static final double ABOVE = 0.53;
  private static final double SHARE = 0.01;
  private static final double HALF_LIFE_SECONDS = 300;

  private final StepTime stepTime;
  private final double[] onlineSeconds;
  private Instant since;
  private int online;

  Headroom(int maxStreams, Instant now) {
    this.onlineSeconds = new double[maxStreams + 1];
    this.stepTime = new StepTime(maxStreams);
    this.since = now;
  }

  /** The number of online streams has changed. */
  void onlineIs(int streams, Instant now) {
    double seconds = Duration.between(since, now).toNanos() / 1e9;
    double keep = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    for (int i = 0; i < onlineSeconds.length; i++) {
      onlineSeconds[i] *= keep;
    }
    onlineSeconds[Math.min(online, onlineSeconds.length - 1)] += online * seconds;
    online = streams;
    since = now;
  }

  /** A token came while {@code streams} ran, {@code millis} after the one before. */
  void observe(int streams, double millis) {
    stepTime.observe(streams, millis);
  }

  /** Returns the most streams that may run beside online work. */
  int streams() {
    int usual = usual();
    return stepTime.isFlat(usual, SHARE) ? onlineSeconds.length - 1 : usual;
  }

  private int usual() {
    double total = 0;
    for (double seconds : onlineSeconds) {
      total += seconds;
    }
    double above = 0;
    for (int n = onlineSeconds.length - 1; n > 0; n--) {
      above += onlineSeconds[n];
      if (above > ABOVE * total) {
        return n;
      }
    }
    return 0;
  }
}
