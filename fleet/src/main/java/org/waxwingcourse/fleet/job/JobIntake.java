package org.waxwingcourse.fleet.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.plan.JobTerms;
import org.waxwingcourse.fleet.view.KeyNames;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobItems;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.WaitingJob;
import org.waxwingcourse.wire.fleet.WaitingTokens;

/**
 * Accepts jobs. One transaction creates the record, the items, the entry that names the runner and
 * the organisation's count of waiting tokens, so that a job is accepted whole, once, and inside the
 * organisation's limit over all hosts.
 */
final class JobIntake {
  private static final EventLog LOG = EventLog.of(JobIntake.class);

  /** Transactions tried against other hosts' changes before the caller is told to come back. */
  private static final int MAX_RACES = 6;

  /** Bytes of items in one value; below the store's largest value, encoding included. */
  private static final int MAX_PART_BYTES = 700_000;

  /** Parts that fit into one transaction beside the other writes. */
  private static final int MAX_PARTS = 26;

  /** When to come back if the waiting tokens leave no room; a job ends about so often. */
  private static final Duration LIMIT_RETRY = Duration.ofSeconds(1);

  /** Pauses between looks for a write whose answer was lost; it may be done seconds later. */
  private static final Duration LATE_LOOK = Duration.ofSeconds(1);

  private static final int LATE_LOOKS = 8;

  private final JobStore store;
  private final JobRunner runner;
  private final RunnerName self;
  private final ScheduledExecutorService timer;
  private final Supplier<Duration> storeRetry;
  private final Map<String, Counted> counts = new ConcurrentHashMap<>();

  /**
   * Creates the intake of one process.
   *
   * @param storeRetry after which time to come back if the store refused a call
   */
  JobIntake(
      JobStore store,
      JobRunner runner,
      RunnerName self,
      ScheduledExecutorService timer,
      Supplier<Duration> storeRetry) {
    this.storeRetry = storeRetry;
    this.store = store;
    this.runner = runner;
    this.self = self;
    this.timer = timer;
  }

  /** An organisation's waiting tokens as last seen. */
  private record Counted(WaitingTokens tokens, Revision revision) {
    static final Counted NONE = new Counted(WaitingTokens.getDefaultInstance(), Revision.NONE);

    long sum(long nowMillis) {
      return tokens.getJobsList().stream()
          .filter(j -> j.getGiveUpMillis() > nowMillis)
          .mapToLong(WaitingJob::getTokens)
          .sum();
    }

    /** Returns the count with one more job, still at the revision that it was read at. */
    Counted with(JobSubmission job, JobRecord record) {
      WaitingTokens.Builder all = WaitingTokens.newBuilder();
      tokens.getJobsList().stream()
          .filter(j -> j.getGiveUpMillis() > record.getAcceptedMillis())
          .forEach(all::addJobs);
      all.addJobs(
          WaitingJob.newBuilder()
              .setJob(job.id().value())
              .setTokens(job.tokens())
              .setGiveUpMillis(record.getGiveUpMillis()));
      return new Counted(all.build(), revision);
    }
  }

  CompletableFuture<JobAnswer> submit(JobSubmission job, Instant wallNow) {
    List<JobItems> parts = split(job.items());
    if (parts.size() > MAX_PARTS) {
      return done(new JobAnswer.Refused(true, LIMIT_RETRY, "the job is too large"));
    }
    return attempt(job, record(job, parts.size(), wallNow), parts, 0);
  }

  private CompletableFuture<JobAnswer> attempt(
      JobSubmission job, JobRecord record, List<JobItems> parts, int races) {
    if (races >= MAX_RACES) {
      return done(refused(job, "other hosts changed the count each time"));
    }
    String countKey = countKey(job);
    Counted counted = counts.getOrDefault(countKey, Counted.NONE);
    if (!fits(job, counted, record)) {
      return recount(job, countKey, record)
          .thenCompose(
              fresh ->
                  fresh.isDefined() && fits(job, fresh.get(), record)
                      ? attempt(job, record, parts, races + 1)
                      : known(job, fresh));
    }
    Counted next = counted.with(job, record);
    long term = runner.term();
    return store
        .write(transaction(job, record, parts, countKey, next))
        .thenCompose(outcome -> settle(job, record, parts, races, next, term, outcome));
  }

  private static boolean fits(JobSubmission job, Counted counted, JobRecord record) {
    long limit = job.route().jobs().map(JobTerms::maxWaitingTokens).getOrElse(0L);
    return limit <= 0 || counted.sum(record.getAcceptedMillis()) + job.tokens() <= limit;
  }

  private CompletableFuture<JobAnswer> settle(
      JobSubmission job,
      JobRecord record,
      List<JobItems> parts,
      int races,
      Counted next,
      long term,
      WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Done done) {
      counts.put(countKey(job), new Counted(next.tokens(), done.revision()));
      LOG.write(Event.JOB_ACCEPTED, job.id(), job.organisation(), job.items().size(), job.tokens());
      JobStore.Stored stored = new JobStore.Stored(record, done.revision());
      runner.start(job.id(), stored, job.items(), term);
      return done(new JobAnswer.Accepted());
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      Option<Entry> existing =
          Option.ofOptional(
              lost.current().stream()
                  .filter(e -> e.key().equals(KeyNames.jobKey(job.id())))
                  .findFirst());
      if (existing.isDefined()) {
        return done(repeated(job, existing.get()));
      }
      noteCount(countKey(job), lost.current());
      return attempt(job, record, parts, races + 1);
    }
    if (outcome instanceof WriteOutcome.NotSent notSent) {
      return done(refused(job, notSent.failure().message()));
    }
    return lookFor(job, ((WriteOutcome.Unknown) outcome).message());
  }

  /** The answer was lost: the job may stand now, or later, or never. */
  private CompletableFuture<JobAnswer> lookFor(JobSubmission job, String why) {
    counts.remove(countKey(job));
    return store
        .record(job.id())
        .thenApply(
            answer -> {
              if (answer.isRight() && answer.get().isDefined()) {
                runner.take(job.id());
                return new JobAnswer.Accepted();
              }
              lookLater(job.id(), LATE_LOOKS);
              LOG.write(Event.JOB_UNKNOWN, job.id(), why);
              return new JobAnswer.Unknown(why);
            });
  }

  private void lookLater(JobId job, int looks) {
    if (looks == 0) {
      return;
    }
    timer.schedule(
        () ->
            store
                .record(job)
                .thenAccept(
                    answer -> {
                      if (answer.isRight() && answer.get().isDefined()) {
                        runner.take(job);
                      } else {
                        lookLater(job, looks - 1);
                      }
                    }),
        LATE_LOOK.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private static JobAnswer repeated(JobSubmission job, Entry existing) {
    Either<?, JobStore.Stored> stored = JobStore.parse(existing);
    boolean own =
        stored.isRight()
            && stored.get().record().getOrganisation().equals(job.organisation().value());
    return own ? new JobAnswer.Accepted() : new JobAnswer.NotFound();
  }

  private JobAnswer refused(JobSubmission job, String reason) {
    LOG.write(Event.JOB_REFUSED, job.id(), reason, job.tokens());
    return new JobAnswer.Refused(false, storeRetry.get(), reason);
  }

  /** A job that does not fit may still have been accepted before. */
  private CompletableFuture<JobAnswer> known(JobSubmission job, Option<Counted> fresh) {
    return store
        .record(job.id())
        .thenApply(
            answer -> {
              if (answer.isRight() && answer.get().isDefined()) {
                return new JobAnswer.Accepted();
              }
              if (answer.isLeft() || fresh.isEmpty()) {
                return refused(job, "the store does not answer");
              }
              String reason =
                  "organisation \"" + job.organisation() + "\" has too many waiting tokens";
              LOG.write(Event.JOB_REFUSED, job.id(), reason, job.tokens());
              return new JobAnswer.Refused(true, LIMIT_RETRY, reason);
            });
  }

  /** Counts anew what waits: jobs that are finished or ended no longer count. */
  private CompletableFuture<Option<Counted>> recount(
      JobSubmission job, String key, JobRecord candidate) {
    return store
        .read(KeyRange.ofKey(key))
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return done(Option.<Counted>none());
              }
              noteCount(key, answer.get().entries());
              Counted stored = counts.getOrDefault(key, Counted.NONE);
              return recount(stored, 0, new ArrayList<>(), candidate.getAcceptedMillis())
                  .thenApply(
                      fresh -> {
                        counts.put(key, fresh);
                        return Option.some(fresh);
                      });
            });
  }

  private CompletableFuture<Counted> recount(
      Counted stored, int index, List<WaitingJob> kept, long nowMillis) {
    if (index == stored.tokens().getJobsCount()) {
      WaitingTokens tokens = WaitingTokens.newBuilder().addAllJobs(kept).build();
      return done(new Counted(tokens, stored.revision()));
    }
    WaitingJob waiting = stored.tokens().getJobs(index);
    if (waiting.getGiveUpMillis() <= nowMillis) {
      return recount(stored, index + 1, kept, nowMillis);
    }
    return store
        .record(JobId.of(waiting.getJob()))
        .thenCompose(
            answer -> {
              long left = answer.map(o -> unfinished(o)).getOrElse(waiting.getTokens());
              if (left > 0) {
                kept.add(waiting.toBuilder().setTokens(left).build());
              }
              return recount(stored, index + 1, kept, nowMillis);
            });
  }

  private static long unfinished(Option<JobStore.Stored> stored) {
    if (stored.isEmpty() || stored.get().record().getClosed()) {
      return 0;
    }
    JobRecord record = stored.get().record();
    long sum = record.getItemTokensList().stream().mapToLong(Long::longValue).sum();
    for (int item : record.getListedList()) {
      sum -= record.getItemTokens(item);
    }
    return sum;
  }

  private void noteCount(String key, List<Entry> entries) {
    Option<Entry> entry =
        Option.ofOptional(entries.stream().filter(e -> e.key().equals(key)).findFirst());
    Counted counted =
        entry
            .flatMap(
                e ->
                    JobStore.message(e, WaitingTokens.parser())
                        .map(t -> new Counted(t, e.modified()))
                        .toOption())
            .getOrElse(Counted.NONE);
    counts.put(key, counted);
  }

  private Transaction transaction(
      JobSubmission job, JobRecord record, List<JobItems> parts, String key, Counted next) {
    Transaction.Builder builder =
        Transaction.builder()
            .absent(KeyNames.jobKey(job.id()))
            .unchanged(key, next.revision())
            .put(KeyNames.jobKey(job.id()), record.toByteArray())
            .put(KeyNames.runnerKey(job.id()), self.encode())
            .put(key, next.tokens().toByteArray());
    for (int i = 0; i < parts.size(); i++) {
      builder.put(KeyNames.itemsKey(job.id(), i), parts.get(i).toByteArray());
    }
    return builder.build();
  }

  private JobRecord record(JobSubmission job, int parts, Instant wallNow) {
    JobTerms terms = job.route().jobs().get();
    return JobRecord.newBuilder()
        .setOrganisation(job.organisation().value())
        .setRoute(job.route().name())
        .setHostHeader(job.host())
        .setAcceptedMillis(wallNow.toEpochMilli())
        .setDueMillis(wallNow.plus(terms.dueAfter()).toEpochMilli())
        .setGiveUpMillis(wallNow.plus(terms.abandonAfter()).toEpochMilli())
        .setMaxAttempts(job.route().maxAttempts())
        .addAllItemTokens(job.items().stream().map(JobItem::getTokens).toList())
        .setItemParts(parts)
        .setRunner(self.host().value())
        .setRunnerBoot(self.boot())
        .build();
  }

  private static List<JobItems> split(List<JobItem> items) {
    List<JobItems> parts = new ArrayList<>();
    JobItems.Builder part = JobItems.newBuilder();
    int bytes = 0;
    for (JobItem item : items) {
      int size = item.getSerializedSize();
      if (bytes > 0 && bytes + size > MAX_PART_BYTES) {
        parts.add(part.build());
        part = JobItems.newBuilder();
        bytes = 0;
      }
      part.addItems(item);
      bytes += size;
    }
    parts.add(part.build());
    return parts;
  }

  private static String countKey(JobSubmission job) {
    return KeyNames.waitingTokensKey(job.organisation().value(), job.route().name());
  }

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }
}
