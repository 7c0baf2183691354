package org.waxwingcourse.fleet.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingcourse.model.time.Deadline;

/**
 * Watches a run for silence of its engine. A host that is short of processor time is late itself:
 * it sends requests late and leaves responses unread. So the host first reads what has arrived, and
 * if it is late with that, the engine gets the time again.
 *
 * <p>Safe for use by several threads.
 */
public final class SilenceWatch {
  /** How late this host may be and still count as a witness. */
  private static final Duration MAX_OWN_LATENESS = Duration.ofMillis(30);

  /** Number of times that lateness of this host prolongs one watch. */
  private static final int MAX_EXTENSIONS = 4;

  private final InstantSource clock;
  private final ScheduledExecutorService timer;
  private final Consumer<Runnable> afterInput;
  private final Runnable onSilence;
  private Duration limit;
  private Deadline deadline;
  private ScheduledFuture<?> nextCheck;
  private int extensions;
  private boolean stopped;

  /**
   * Creates a watch that is not started.
   *
   * @param clock the steady clock
   * @param timer runs the checks
   * @param afterInput runs an action once the input that has arrived by now has been read
   * @param onSilence called at most once, without a lock of this watch
   */
  public SilenceWatch(
      InstantSource clock,
      ScheduledExecutorService timer,
      Consumer<Runnable> afterInput,
      Runnable onSilence) {
    this.clock = clock;
    this.timer = timer;
    this.afterInput = afterInput;
    this.onSilence = onSilence;
  }

  /** Starts to watch: the engine is silent if there is no activity for {@code firstLimit}. */
  public synchronized void start(Duration firstLimit) {
    limit = firstLimit;
    deadline = Deadline.after(clock, firstLimit);
    scheduleCheck();
  }

  /** Records that the engine has sent something, after which {@code nextLimit} applies. */
  public synchronized void recordActivity(Duration nextLimit) {
    boolean isShorter = nextLimit.compareTo(limit) < 0;
    limit = nextLimit;
    deadline = Deadline.after(clock, nextLimit);
    if (isShorter) {
      scheduleCheck();
    }
  }

  /** Stops the watch. */
  public synchronized void stop() {
    stopped = true;
    cancelCheck();
  }

  /** Schedules the next check, instead of an earlier one that is still due. */
  private void scheduleCheck() {
    cancelCheck();
    long nanos = deadline.remaining(clock.instant()).toNanos();
    nextCheck = timer.schedule(this::check, nanos, TimeUnit.NANOSECONDS);
  }

  private void cancelCheck() {
    if (nextCheck != null) {
      nextCheck.cancel(false);
    }
  }

  private void check() {
    Instant dueAt;
    synchronized (this) {
      if (stopped) {
        return;
      }
      if (!deadline.isPast(clock.instant())) {
        scheduleCheck();
        return;
      }
      dueAt = deadline.at();
    }
    afterInput.accept(() -> confirm(dueAt));
  }

  private void confirm(Instant dueAt) {
    synchronized (this) {
      Instant now = clock.instant();
      if (stopped) {
        return;
      }
      boolean late = now.isAfter(dueAt.plus(MAX_OWN_LATENESS));
      if (late && extensions < MAX_EXTENSIONS && deadline.isPast(now)) {
        extensions++;
        deadline = Deadline.at(now.plus(limit));
      }
      if (!deadline.isPast(now)) {
        scheduleCheck();
        return;
      }
      stopped = true;
    }
    onSilence.run();
  }
}
