package org.waxwingcourse.fleet.job;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Ends waiting for a result by a given timer. */
final class Timeouts {
  private Timeouts() {}

  /** Completes {@code result} with {@code value} unless it completes within {@code limit}. */
  static <T> CompletableFuture<T> completeAfter(
      Duration limit, T value, CompletableFuture<T> result, ScheduledExecutorService timer) {
    Runnable complete = () -> result.complete(value);
    Future<?> timeout = timer.schedule(complete, limit.toNanos(), TimeUnit.NANOSECONDS);
    result.whenComplete((completed, error) -> timeout.cancel(false));
    return result;
  }
}
