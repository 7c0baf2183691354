package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobForwardAnswer;
import org.waxwingcourse.wire.fleet.JobForwarded;
import org.waxwingcourse.wire.fleet.JobItem;

/**
 * Forwards jobs that this host cannot store to a host that reaches the store. The other host
 * accepts and runs them; a job that both have written is accepted once, as its id is the same.
 *
 * <p>Load pattern: the store is silent to some hosts, or refuses them, while it serves the others;
 * a caller that is sent elsewhere may meet another such host and is then too late.
 *
 * <p>Safe for use by several threads.
 */
final class JobForwarder {
  /**
   * Maximum size in bytes of the items of a forwarded job. A larger one would hold up the messages
   * behind it, pings among them.
   */
  private static final long MAX_ITEM_BYTES = 1 << 20;

  private final BiConsumer<HostId, FleetMessage.Builder> sender;
  private final PendingAnswers<JobAnswer> pending;

  /**
   * Creates a forwarder.
   *
   * @param boot identifies this process
   * @param sender sends messages to other hosts
   */
  JobForwarder(
      long boot, BiConsumer<HostId, FleetMessage.Builder> sender, ScheduledExecutorService timer) {
    this.sender = sender;
    this.pending = new PendingAnswers<>(boot, timer);
  }

  /** Returns whether the job is small enough to be forwarded. */
  static boolean mayForward(JobSubmission job) {
    return job.items().stream().mapToLong(JobItem::getSerializedSize).sum() <= MAX_ITEM_BYTES;
  }

  /**
   * Forwards a job and returns the answer.
   *
   * @param answer the answer of this host, which did not reach the store
   * @param limit time after which no answer is waited for any longer
   */
  CompletableFuture<JobAnswer> forward(
      HostId host, JobSubmission job, JobAnswer answer, Duration limit) {
    JobForwarded.Builder message =
        JobForwarded.newBuilder()
            .setJob(job.id().value())
            .setOrganisation(job.organisation().value())
            .setHost(job.host())
            .setRoute(job.route().name())
            .addAllItems(job.items());
    return pending
        .await(
            host,
            job.id(),
            question ->
                sender.accept(
                    host,
                    FleetMessage.newBuilder()
                        .setJobForwarded(
                            message.setNumber(question.number()).setBoot(question.boot()))),
            limit)
        .thenApply(forwarded -> combine(answer, forwarded));
  }

  /** Returns what is true of a job that this host and another one have tried to store. */
  private static JobAnswer combine(JobAnswer own, Option<JobAnswer> forwarded) {
    if (forwarded.isEmpty()) {
      return new JobAnswer.Unknown("the host to which the job was forwarded did not answer");
    }
    boolean mayBeStored = own instanceof JobAnswer.Unknown;
    return mayBeStored && forwarded.get() instanceof JobAnswer.Refused ? own : forwarded.get();
  }

  void onAnswer(HostId from, JobForwardAnswer message) {
    Question question =
        new Question(from, message.getBoot(), message.getNumber(), message.getJob());
    pending.complete(question, decode(message));
  }

  /** Returns the submission of a forwarded job; none if its route is not known here. */
  static Option<JobSubmission> decode(JobForwarded message, Option<Plan> plan) {
    Option<Route> route = plan.flatMap(p -> p.routes().findJobRoute(message.getRoute()));
    return route.map(
        r ->
            new JobSubmission(
                JobId.of(message.getJob()),
                OrganisationId.of(message.getOrganisation()),
                message.getHost(),
                r,
                message.getItemsList()));
  }

  static JobForwardAnswer encode(JobForwarded question, JobAnswer answer) {
    JobForwardAnswer.Builder message =
        JobForwardAnswer.newBuilder()
            .setNumber(question.getNumber())
            .setBoot(question.getBoot())
            .setJob(question.getJob());
    if (answer instanceof JobAnswer.Accepted) {
      message.setResult(JobForwardAnswer.Result.ACCEPTED);
    } else if (answer instanceof JobAnswer.NotFound) {
      message.setResult(JobForwardAnswer.Result.NOT_FOUND);
    } else if (answer instanceof JobAnswer.Refused refused) {
      message
          .setResult(
              refused.overLimit()
                  ? JobForwardAnswer.Result.OVER_LIMIT
                  : JobForwardAnswer.Result.REFUSED)
          .setRetryAfterNanos(refused.retryAfter().toNanos())
          .setReason(refused.reason());
    } else if (answer instanceof JobAnswer.TooLarge tooLarge) {
      message.setResult(JobForwardAnswer.Result.REFUSED).setReason(tooLarge.reason());
    } else if (answer instanceof JobAnswer.Unknown unknown) {
      message.setReason(unknown.reason());
    }
    return message.build();
  }

  private static JobAnswer decode(JobForwardAnswer message) {
    Duration retryAfter = Duration.ofNanos(message.getRetryAfterNanos());
    return switch (message.getResult()) {
      case ACCEPTED -> new JobAnswer.Accepted();
      case NOT_FOUND -> new JobAnswer.NotFound();
      case REFUSED -> new JobAnswer.Refused(false, retryAfter, message.getReason());
      case OVER_LIMIT -> new JobAnswer.Refused(true, retryAfter, message.getReason());
      case UNKNOWN, UNRECOGNIZED -> new JobAnswer.Unknown(message.getReason());
    };
  }
}
