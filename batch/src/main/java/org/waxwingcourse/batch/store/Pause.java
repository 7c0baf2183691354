package org.waxwingcourse.batch.store;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Blocks the calling thread for some time. */
@FunctionalInterface
public interface Pause {
  /** Returns after {@code duration}, or early if the thread is interrupted. */
  void sleep(Duration duration);

  /** Returns a pause that parks the thread. */
  static Pause parking() {
    return duration -> {
      long end = System.nanoTime() + duration.toNanos();
      long left = duration.toNanos();
      while (left > 0 && !Thread.currentThread().isInterrupted()) {
        LockSupport.parkNanos(left);
        left = end - System.nanoTime();
      }
    };
  }
}
