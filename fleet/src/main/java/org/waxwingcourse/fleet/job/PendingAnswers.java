package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * The answers of other hosts that are waited for, by the number of the question.
 *
 * <p>Safe for use by several threads.
 */
final class PendingAnswers<T> {
  private final Map<Long, CompletableFuture<Option<T>>> pending = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();
  private final ScheduledExecutorService timer;

  PendingAnswers(ScheduledExecutorService timer) {
    this.timer = timer;
  }

  /**
   * Asks a question and returns the answer, none if there is none within {@code limit}.
   *
   * @param question sends the question with the given number
   */
  CompletableFuture<Option<T>> await(LongConsumer question, Duration limit) {
    long number = lastNumber.incrementAndGet();
    CompletableFuture<Option<T>> waiting = new CompletableFuture<>();
    pending.put(number, waiting);
    question.accept(number);
    return Timeouts.completeAfter(limit, Option.none(), waiting, timer)
        .whenComplete((answer, error) -> pending.remove(number));
  }

  /** Records the answer to a question; an answer that is no longer waited for is ignored. */
  void complete(long number, T answer) {
    CompletableFuture<Option<T>> waiting = pending.remove(number);
    if (waiting != null) {
      waiting.complete(Option.some(answer));
    }
  }
}
