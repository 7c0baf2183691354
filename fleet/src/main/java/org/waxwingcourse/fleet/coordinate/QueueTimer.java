package org.waxwingcourse.fleet.coordinate;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs a step at a short interval while there is work, and not at all otherwise: most hosts of a
 * fleet coordinate no one, and a wake-up costs more than the step.
 *
 * <p>Safe for use by several threads. The step is run by one thread at a time.
 */
public final class QueueTimer {
  private final ScheduledExecutorService timer;
  private final Duration interval;
  private final Runnable step;
  private final BooleanSupplier hasWork;
  private volatile boolean running;

  /**
   * Creates a timer that waits for work.
   *
   * @param hasWork returns whether the step is to be run again; called by the timer
   */
  public QueueTimer(
      ScheduledExecutorService timer, Duration interval, Runnable step, BooleanSupplier hasWork) {
    this.timer = timer;
    this.interval = interval;
    this.step = step;
    this.hasWork = hasWork;
  }

  /** Runs the step from now on; called after there is work for the first time or again. */
  public void wake() {
    if (!running) {
      synchronized (this) {
        if (!running) {
          running = true;
          schedule();
        }
      }
    }
  }

  /** Runs the step once on the thread of the timer if it is not running regularly. */
  public void runIfIdle() {
    if (!running) {
      step.run();
    }
  }

  private void tick() {
    try {
      step.run();
    } finally {
      synchronized (this) {
        // Work that comes after this check finds the timer idle and starts it again.
        running = false;
        if (hasWork.getAsBoolean()) {
          running = true;
          schedule();
        }
      }
    }
  }

  private void schedule() {
    if (!timer.isShutdown()) {
      timer.schedule(this::tick, interval.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  /** Returns whether the step is run at the short interval. */
  public boolean isRunning() {
    return running;
  }
}
