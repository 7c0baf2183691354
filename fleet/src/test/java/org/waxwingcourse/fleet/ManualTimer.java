package org.waxwingcourse.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.model.time.ManualClock;

/** A timer that runs its tasks in the calling thread as its clock is advanced. */
public final class ManualTimer extends ScheduledThreadPoolExecutor {
  private final ManualClock clock;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparing(Task::dueAt).thenComparing(Task::order));
  private long lastOrder;

  private record Task(Instant dueAt, long order, Runnable action, Future<?> handle) {}

  /** Creates a timer that has no tasks. */
  public ManualTimer(ManualClock clock) {
    super(1);
    this.clock = clock;
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
    ScheduledFuture<?> handle = super.schedule(() -> {}, Long.MAX_VALUE, TimeUnit.NANOSECONDS);
    Instant dueAt = clock.instant().plusNanos(unit.toNanos(delay));
    tasks.add(new Task(dueAt, ++lastOrder, action, handle));
    return handle;
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable action, long initialDelay, long delay, TimeUnit unit) {
    ScheduledFuture<?> handle = super.schedule(() -> {}, Long.MAX_VALUE, TimeUnit.NANOSECONDS);
    addRepeated(action, clock.instant().plusNanos(unit.toNanos(initialDelay)), delay, unit, handle);
    return handle;
  }

  private void addRepeated(
      Runnable action, Instant dueAt, long delay, TimeUnit unit, Future<?> handle) {
    Runnable step =
        () -> {
          action.run();
          Instant next = clock.instant().plusNanos(unit.toNanos(delay));
          addRepeated(action, next, delay, unit, handle);
        };
    tasks.add(new Task(dueAt, ++lastOrder, step, handle));
  }

  @Override
  public void execute(Runnable action) {
    Future<?> handle = new FutureTask<>(() -> null);
    tasks.add(new Task(clock.instant(), ++lastOrder, action, handle));
  }

  /** Advances the clock and runs the tasks that become due, each at its time. */
  public void advance(Duration span) {
    Instant end = clock.instant().plus(span);
    while (!tasks.isEmpty() && !tasks.peek().dueAt.isAfter(end)) {
      Task task = tasks.poll();
      if (task.dueAt.isAfter(clock.instant())) {
        clock.advance(Duration.between(clock.instant(), task.dueAt));
      }
      if (!task.handle.isCancelled()) {
        task.action.run();
      }
    }
    clock.advance(Duration.between(clock.instant(), end));
  }
}
