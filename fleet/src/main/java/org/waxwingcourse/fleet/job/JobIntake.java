package org.waxwingcourse.fleet.job;

import com.google.protobuf.CodedOutputStream;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.plan.JobTerms;
import org.waxwingcourse.fleet.view.StoreKeys;
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
 * the organisation's count of waiting tokens, so that a job is accepted completely, only once, and
 * within the organisation's limit over all hosts.
 */
final class JobIntake {
  private static final EventLog LOG = EventLog.of(JobIntake.class);

  /**
   * Maximum number of transactions that are tried in conflict with changes by other hosts before
   * the caller is told to retry later.
   */
  private static final int MAX_CONFLICTS = 6;

  /** Maximum bytes of items in one value, where the store does not take less. */
  private static final int MAX_PART_BYTES = 700_000;

  /** Maximum number of parts that fit into one transaction beside the other writes. */
  private static final int MAX_PARTS = 26;

  /**
   * Time after which a caller may retry if the limit on waiting tokens is exceeded; a job ends
   * about this often.
   */
  private static final Duration LIMIT_RETRY_DELAY = Duration.ofSeconds(1);

  private final JobStore store;
  private final JobRunner runner;
  private final RunnerName self;
  private final ScheduledExecutorService timer;
  private final InstantSource clock;
  private final Supplier<Duration> storeResponseTime;
  private final Supplier<Duration> storeRetryDelay;
  private final AcceptancePatience patience = new AcceptancePatience();
  private final Map<String, CountedTokens> lastCounts = new ConcurrentHashMap<>();

  /**
   * Creates the intake of one process.
   *
   * @param clock the steady clock
   * @param storeResponseTime supplies the usual response time of the store
   * @param storeRetryDelay supplies the time after which a caller may retry if the store refused a
   *     call
   */
  JobIntake(
      JobStore store,
      JobRunner runner,
      RunnerName self,
      InstantSource clock,
      ScheduledExecutorService timer,
      Supplier<Duration> storeResponseTime,
      Supplier<Duration> storeRetryDelay) {
    this.clock = clock;
    this.timer = timer;
    this.storeResponseTime = storeResponseTime;
    this.storeRetryDelay = storeRetryDelay;
    this.store = store;
    this.runner = runner;
    this.self = self;
  }

  /** An organisation's waiting tokens as last read or written. */
  private record CountedTokens(WaitingTokens tokens, Revision revision) {
    static final CountedTokens NONE =
        new CountedTokens(WaitingTokens.getDefaultInstance(), Revision.NONE);

    long sum(long nowMillis) {
      return tokens.getJobsList().stream()
          .filter(j -> j.getGiveUpMillis() > nowMillis)
          .mapToLong(WaitingJob::getTokens)
          .sum();
    }

    /** Returns the count with one more job, still at the revision at which it was read. */
    CountedTokens with(JobSubmission job, JobRecord record) {
      WaitingTokens.Builder all = WaitingTokens.newBuilder();
      tokens.getJobsList().stream()
          .filter(j -> j.getGiveUpMillis() > record.getAcceptedMillis())
          .forEach(all::addJobs);
      all.addJobs(
          WaitingJob.newBuilder()
              .setJob(job.id().value())
              .setTokens(job.tokens())
              .setGiveUpMillis(record.getGiveUpMillis()));
      return new CountedTokens(all.build(), revision);
    }
  }

  CompletableFuture<JobAnswer> submit(JobSubmission job, Instant wallNow) {
    List<JobItems> parts = splitItems(job.items(), Math.min(MAX_PART_BYTES, store.maxValueBytes()));
    Option<String> excess = excess(parts);
    if (excess.isDefined()) {
      LOG.write(Event.JOB_REFUSED, job.id(), excess.get(), job.tokens());
      return completed(new JobAnswer.TooLarge(excess.get()));
    }
    if (patience.isStoreSilent(clock.instant())) {
      return completed(refuse(job, "the store has left the last job unanswered"));
    }
    CompletableFuture<JobAnswer> answer =
        tryAccept(job, newRecord(job, parts.size(), wallNow), parts, 0);
    Duration usual = storeResponseTime.get();
    if (usual.isZero()) {
      return answer;
    }
    Duration limit = patience.patience(job.route().objective(), usual);
    return Timeouts.completeAfter(limit, null, answer.copy(), timer)
        .thenApply(a -> a == null ? answerWithoutStore(job, limit) : a);
  }

  /** Returns why the store can never take the items, none if it can. */
  private Option<String> excess(List<JobItems> parts) {
    int largest = parts.stream().mapToInt(JobItems::getSerializedSize).max().orElse(0);
    if (largest > store.maxValueBytes()) {
      return Option.some(
          "an item has " + largest + " bytes, the store takes " + store.maxValueBytes());
    }
    return Option.when(
        parts.size() > MAX_PARTS,
        () -> "the items need " + parts.size() + " values, the store takes " + MAX_PARTS);
  }

  /** The job is still accepted if the store answers later; its caller then finds it accepted. */
  private JobAnswer answerWithoutStore(JobSubmission job, Duration limit) {
    patience.recordSilence(clock.instant());
    String reason = "the store did not respond within " + limit.toMillis() + " ms";
    LOG.write(Event.JOB_UNKNOWN, job.id(), reason);
    return new JobAnswer.Unknown(reason);
  }

  private CompletableFuture<JobAnswer> tryAccept(
      JobSubmission job, JobRecord record, List<JobItems> parts, int conflicts) {
    if (conflicts >= MAX_CONFLICTS) {
      return completed(
          refuse(job, "the count of waiting tokens was changed concurrently on every attempt"));
    }
    String countKey = countKey(job);
    CountedTokens lastCount = lastCounts.getOrDefault(countKey, CountedTokens.NONE);
    if (!fits(job, lastCount, record)) {
      return recountTokens(job, countKey, record)
          .thenCompose(
              recounted ->
                  recounted.isDefined() && fits(job, recounted.get(), record)
                      ? tryAccept(job, record, parts, conflicts + 1)
                      : refuseUnlessAccepted(job, recounted));
    }
    CountedTokens newCount = lastCount.with(job, record);
    AskedAt askedAt = runner.now();
    return store
        .write(buildTransaction(job, record, parts, countKey, newCount))
        .thenCompose(
            outcome -> handleOutcome(job, record, parts, conflicts, newCount, askedAt, outcome));
  }

  private static boolean fits(JobSubmission job, CountedTokens lastCount, JobRecord record) {
    long limit = job.route().jobs().map(JobTerms::maxWaitingTokens).getOrElse(0L);
    return limit <= 0 || lastCount.sum(record.getAcceptedMillis()) + job.tokens() <= limit;
  }

  private CompletableFuture<JobAnswer> handleOutcome(
      JobSubmission job,
      JobRecord record,
      List<JobItems> parts,
      int conflicts,
      CountedTokens newCount,
      AskedAt askedAt,
      WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Done || outcome instanceof WriteOutcome.Lost) {
      patience.recordAnswer();
    }
    if (outcome instanceof WriteOutcome.Done done) {
      lastCounts.put(countKey(job), new CountedTokens(newCount.tokens(), done.revision()));
      LOG.write(Event.JOB_ACCEPTED, job.id(), job.organisation(), job.items().size(), job.tokens());
      JobStore.StoredRecord stored = new JobStore.StoredRecord(record, done.revision());
      runner.startAccepted(job.id(), stored, job.items(), askedAt);
      return completed(new JobAnswer.Accepted());
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      Option<Entry> existing =
          Option.ofOptional(
              lost.current().stream()
                  .filter(e -> e.key().equals(StoreKeys.jobKey(job.id())))
                  .findFirst());
      if (existing.isDefined()) {
        return completed(answerRepeated(job, existing.get()));
      }
      updateLastCount(countKey(job), lost.current());
      return tryAccept(job, record, parts, conflicts + 1);
    }
    if (outcome instanceof WriteOutcome.NotSent notSent) {
      return completed(refuse(job, notSent.failure().message()));
    }
    return findAfterLostAnswer(job, ((WriteOutcome.Unknown) outcome).message());
  }

  /**
   * Looks for a job after the answer of the store was lost: the job may have been written, may
   * still be written later, or never.
   */
  private CompletableFuture<JobAnswer> findAfterLostAnswer(JobSubmission job, String reason) {
    lastCounts.remove(countKey(job));
    patience.recordSilence(clock.instant());
    return store
        .readRecord(job.id())
        .thenApply(
            answer -> {
              if (answer.isRight() && answer.get().isDefined()) {
                runner.resumeAccepted(job.id());
                return new JobAnswer.Accepted();
              }
              runner.lookForLostWrite(job.id());
              LOG.write(Event.JOB_UNKNOWN, job.id(), reason);
              return new JobAnswer.Unknown(reason);
            });
  }

  private static JobAnswer answerRepeated(JobSubmission job, Entry existing) {
    Either<?, JobStore.StoredRecord> stored = JobStore.parseRecord(existing);
    boolean sameOrganisation =
        stored.isRight()
            && stored.get().record().getOrganisation().equals(job.organisation().value());
    return sameOrganisation ? new JobAnswer.Accepted() : new JobAnswer.NotFound();
  }

  private JobAnswer refuse(JobSubmission job, String reason) {
    LOG.write(Event.JOB_REFUSED, job.id(), reason, job.tokens());
    return new JobAnswer.Refused(false, storeRetryDelay.get(), reason);
  }

  /** Refuses a job that exceeds the limit, unless it was accepted before. */
  private CompletableFuture<JobAnswer> refuseUnlessAccepted(
      JobSubmission job, Option<CountedTokens> recounted) {
    return store
        .readRecord(job.id())
        .thenApply(
            answer -> {
              if (answer.isRight() && answer.get().isDefined()) {
                return new JobAnswer.Accepted();
              }
              if (answer.isLeft() || recounted.isEmpty()) {
                return refuse(job, "the store does not answer");
              }
              String reason =
                  "organisation \"" + job.organisation() + "\" has too many waiting tokens";
              LOG.write(Event.JOB_REFUSED, job.id(), reason, job.tokens());
              return new JobAnswer.Refused(true, LIMIT_RETRY_DELAY, reason);
            });
  }

  /** Recounts the waiting tokens; finished and closed jobs no longer count. */
  private CompletableFuture<Option<CountedTokens>> recountTokens(
      JobSubmission job, String key, JobRecord candidate) {
    return store
        .read(KeyRange.ofKey(key))
        .thenCompose(
            answer -> {
              if (answer.isLeft()) {
                return completed(Option.<CountedTokens>none());
              }
              updateLastCount(key, answer.get().entries());
              CountedTokens stored = lastCounts.getOrDefault(key, CountedTokens.NONE);
              return recountTokens(stored, 0, new ArrayList<>(), candidate.getAcceptedMillis())
                  .thenApply(
                      recounted -> {
                        lastCounts.put(key, recounted);
                        return Option.some(recounted);
                      });
            });
  }

  private CompletableFuture<CountedTokens> recountTokens(
      CountedTokens stored, int index, List<WaitingJob> kept, long nowMillis) {
    if (index == stored.tokens().getJobsCount()) {
      WaitingTokens tokens = WaitingTokens.newBuilder().addAllJobs(kept).build();
      return completed(new CountedTokens(tokens, stored.revision()));
    }
    WaitingJob waiting = stored.tokens().getJobs(index);
    if (waiting.getGiveUpMillis() <= nowMillis) {
      return recountTokens(stored, index + 1, kept, nowMillis);
    }
    return store
        .readRecord(JobId.of(waiting.getJob()))
        .thenCompose(
            answer -> {
              long waitingTokens =
                  answer.map(o -> unfinishedTokens(o)).getOrElse(waiting.getTokens());
              if (waitingTokens > 0) {
                kept.add(waiting.toBuilder().setTokens(waitingTokens).build());
              }
              return recountTokens(stored, index + 1, kept, nowMillis);
            });
  }

  private static long unfinishedTokens(Option<JobStore.StoredRecord> stored) {
    if (stored.isEmpty() || stored.get().record().getClosed()) {
      return 0;
    }
    JobRecord record = stored.get().record();
    long sum = record.getItemTokensList().stream().mapToLong(Long::longValue).sum();
    for (int item : Set.copyOf(record.getListedList())) {
      sum -= record.getItemTokens(item);
    }
    return sum;
  }

  private void updateLastCount(String key, List<Entry> entries) {
    Option<Entry> entry =
        Option.ofOptional(entries.stream().filter(e -> e.key().equals(key)).findFirst());
    CountedTokens lastCount =
        entry
            .flatMap(
                e ->
                    JobStore.parseMessage(e, WaitingTokens.parser())
                        .map(t -> new CountedTokens(t, e.modified()))
                        .toOption())
            .getOrElse(CountedTokens.NONE);
    lastCounts.put(key, lastCount);
  }

  private Transaction buildTransaction(
      JobSubmission job,
      JobRecord record,
      List<JobItems> parts,
      String key,
      CountedTokens newCount) {
    Transaction.Builder builder =
        Transaction.builder()
            .requireAbsent(StoreKeys.jobKey(job.id()))
            .requireUnmodified(key, newCount.revision())
            .put(StoreKeys.jobKey(job.id()), record.toByteArray())
            .put(StoreKeys.runnerKey(job.id()), self.encode())
            .put(key, newCount.tokens().toByteArray());
    for (int i = 0; i < parts.size(); i++) {
      builder.put(StoreKeys.itemsKey(job.id(), i), parts.get(i).toByteArray());
    }
    return builder.build();
  }

  private JobRecord newRecord(JobSubmission job, int parts, Instant wallNow) {
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

  private static List<JobItems> splitItems(List<JobItem> items, int maxBytes) {
    List<JobItems> parts = new ArrayList<>();
    JobItems.Builder part = JobItems.newBuilder();
    int bytes = 0;
    for (JobItem item : items) {
      int size = CodedOutputStream.computeMessageSize(JobItems.ITEMS_FIELD_NUMBER, item);
      if (bytes > 0 && bytes + size > maxBytes) {
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
    return StoreKeys.waitingTokensKey(job.organisation().value(), job.route().name());
  }

  private static <T> CompletableFuture<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }
}
