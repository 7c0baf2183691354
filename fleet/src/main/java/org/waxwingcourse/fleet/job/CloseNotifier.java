package org.waxwingcourse.fleet.job;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobClosed;

/**
 * Tells the runner of a closed job so, again and again until it confirms. Gives up after a while: a
 * runner that no message reaches finds the job closed in its record.
 *
 * <p>Safe for use by several threads.
 */
final class CloseNotifier {
  private static final EventLog LOG = EventLog.of(CloseNotifier.class);

  /** Time within which the runner must confirm before the message is sent again. */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(300);

  private static final int MAX_MESSAGES = 6;

  private final long boot;
  private final BiConsumer<HostId, FleetMessage.Builder> sender;
  private final InstantSource clock;
  private final ScheduledExecutorService timer;
  private final Map<Question, Instant> sentAt = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();

  /**
   * Creates a notifier.
   *
   * @param boot identifies this process
   * @param sender sends messages to other hosts
   * @param clock the steady clock
   */
  CloseNotifier(
      long boot,
      BiConsumer<HostId, FleetMessage.Builder> sender,
      InstantSource clock,
      ScheduledExecutorService timer) {
    this.boot = boot;
    this.sender = sender;
    this.clock = clock;
    this.timer = timer;
  }

  /** Tells another host that a job that it runs is closed. */
  void notifyRunner(HostId runner, JobId job) {
    Question close = new Question(runner, boot, lastNumber.incrementAndGet(), job.value());
    sentAt.put(close, clock.instant());
    sendUntilConfirmed(close, MAX_MESSAGES);
  }

  /** Handles the confirmation of a host. */
  void onConfirmation(HostId from, JobClosed message) {
    Instant sent =
        sentAt.remove(new Question(from, message.getBoot(), message.getNumber(), message.getJob()));
    if (sent != null) {
      long millis = Duration.between(sent, clock.instant()).toMillis();
      LOG.write(Event.JOB_CLOSE_CONFIRMED, from, message.getJob(), millis);
    }
  }

  private void sendUntilConfirmed(Question close, int remainingMessages) {
    if (!sentAt.containsKey(close)) {
      return;
    }
    if (remainingMessages == 0) {
      sentAt.remove(close);
      LOG.write(Event.JOB_CLOSE_UNCONFIRMED, close.host(), close.job(), MAX_MESSAGES);
      return;
    }
    JobClosed.Builder message =
        JobClosed.newBuilder().setJob(close.job()).setNumber(close.number()).setBoot(close.boot());
    sender.accept(close.host(), FleetMessage.newBuilder().setJobClosed(message));
    timer.schedule(
        () -> sendUntilConfirmed(close, remainingMessages - 1),
        CONFIRMATION_TIMEOUT.toMillis(),
        TimeUnit.MILLISECONDS);
  }
}
