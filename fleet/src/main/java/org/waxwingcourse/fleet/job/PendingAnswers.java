package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;

/**
 * The answers of other hosts that are waited for, by their questions.
 *
 * <p>Safe for use by several threads.
 */
final class PendingAnswers<T> {
  private static final EventLog LOG = EventLog.of(PendingAnswers.class);

  private final Map<Question, CompletableFuture<Option<T>>> pending = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();
  private final long boot;
  private final ScheduledExecutorService timer;

  /** Creates an empty set of answers for the process that is identified by {@code boot}. */
  PendingAnswers(long boot, ScheduledExecutorService timer) {
    this.boot = boot;
    this.timer = timer;
  }

  /**
   * Asks a host about a job and returns the answer, none if there is none within {@code limit}.
   *
   * @param sender sends the question
   */
  CompletableFuture<Option<T>> await(
      HostId host, JobId job, Consumer<Question> sender, Duration limit) {
    Question question = new Question(host, boot, lastNumber.incrementAndGet(), job.value());
    CompletableFuture<Option<T>> waiting = new CompletableFuture<>();
    pending.put(question, waiting);
    sender.accept(question);
    return Timeouts.completeAfter(limit, Option.none(), waiting, timer)
        .whenComplete((answer, error) -> pending.remove(question));
  }

  /**
   * Records the answer to a question; an answer to a question of an earlier process, or to one that
   * is no longer waited for, is ignored.
   */
  void complete(Question question, T answer) {
    CompletableFuture<Option<T>> waiting = pending.remove(question);
    if (waiting != null) {
      waiting.complete(Option.some(answer));
    } else if (question.boot() != boot) {
      LOG.write(Event.ANSWER_NOT_OURS, question.host(), question.job(), question.boot(), boot);
    }
  }
}
