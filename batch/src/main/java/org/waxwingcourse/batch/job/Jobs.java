package org.waxwingcourse.batch.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Supplier;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.ExpiryEntry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.RecordCodec;
import org.waxwingcourse.batch.store.Pause;
import org.waxwingcourse.batch.store.StoreClient;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Creates, finds, lists, cancels and ends jobs. All state is in the store, so every host gives the
 * same results.
 */
public final class Jobs {
  private static final Duration RESULT_RETENTION = Duration.ofDays(30);
  private static final Duration INPUT_RETENTION_AFTER_RESULTS = Duration.ofDays(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(30);
  private static final Duration CANCEL_POLL_INTERVAL = Duration.ofMillis(300);
  private static final int MAX_CONFLICTS = 8;

  private final StoreClient storeClient;
  private final InstantSource clock;
  private final Supplier<String> operationIds;

  /** Creates an instance that keeps jobs in a store. */
  public Jobs(StoreClient storeClient, InstantSource clock) {
    this(storeClient, clock, () -> UUID.randomUUID().toString());
  }

  /** Creates an instance that takes its unique operation ids from {@code operationIds}. */
  public Jobs(StoreClient storeClient, InstantSource clock, Supplier<String> operationIds) {
    this.storeClient = storeClient;
    this.clock = clock;
    this.operationIds = operationIds;
  }

  /**
   * Creates a job, or returns the one that an earlier copy of the request created. The job is
   * durable when this method returns it; {@link Outcome.Refused} means that no job was created.
   */
  public Either<Outcome, Job> create(JobRequest request) {
    if (request.window().isEmpty()) {
      return rejected(
          RefusalCode.INVALID_REQUEST,
          "completion_window \""
              + request.spec().window()
              + "\" is not a duration such as \"24h\"");
    }
    for (int conflicts = 0; conflicts < MAX_CONFLICTS; conflicts++) {
      Either<Outcome, Entry> file = readFile(request.organisation(), request.spec().file());
      if (file.isLeft()) {
        return Either.left(file.getLeft());
      }
      BatchFile input = RecordCodec.fromEntry(file.get(), BatchFile.class);
      if (!input.endpoints().equals(java.util.Set.of(request.spec().endpoint()))) {
        return rejected(
            RefusalCode.INVALID_REQUEST,
            "endpoint \""
                + request.spec().endpoint()
                + "\" differs from the endpoint of the file's lines");
      }
      Option<Either<Outcome, Job>> end = tryCreate(request, input, file.get());
      if (end.isDefined()) {
        return end.get();
      }
    }
    return unavailable("the file was modified concurrently too often");
  }

  private Option<Either<Outcome, Job>> tryCreate(JobRequest request, BatchFile input, Entry file) {
    Job job = newManifest(request, input);
    WriteOutcome outcome =
        storeClient.write(createTransaction(job, input, file), e -> isSameVersion(e, job));
    if (outcome instanceof WriteOutcome.Done) {
      return Option.some(Either.right(job));
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      Option<Entry> earlier =
          io.vavr.collection.List.ofAll(lost.current()).find(e -> isManifest(e, job.id()));
      return earlier.map(e -> matchExisting(RecordCodec.fromEntry(e, Job.class), request));
    }
    return Option.some(
        outcome instanceof WriteOutcome.Unknown
            ? Either.left(new Outcome.Unknown("the job may have been accepted; send it again"))
            : unavailable("the store did not accept the job"));
  }

  private Job newManifest(JobRequest request, BatchFile input) {
    Deadline due = Deadline.after(clock, request.window().orElseThrow());
    return new Job(
        request.id(),
        request.organisation(),
        request.spec(),
        input.input(),
        request.spec().allowsRepeats() && !request.onceOnly(),
        clock.instant(),
        due,
        Deadline.at(due.at().plus(RESULT_RETENTION)),
        JobState.IN_PROGRESS,
        clock.instant(),
        Job.Counts.NONE,
        operationIds.get());
  }

  /**
   * Also compares the file's record and extends the file's retention if needed, so that a
   * concurrent cleanup cannot delete the input of the new job.
   */
  private Transaction createTransaction(Job job, BatchFile input, Entry file) {
    Deadline neededExpiry = Deadline.at(job.expires().at().plus(INPUT_RETENTION_AFTER_RESULTS));
    Transaction.Builder write =
        Transaction.builder()
            .requireAbsent(Keys.liveJob(job.id()))
            .requireAbsent(Keys.endedJob(job.id()))
            .requireUnmodified(file.key(), file.modified())
            .put(Keys.liveJob(job.id()), RecordCodec.toJson(job));
    if (neededExpiry.compareTo(input.expires()) > 0) {
      write
          .put(file.key(), RecordCodec.toJson(input.withExpiry(neededExpiry, job.operation())))
          .put(
              Keys.expiryEntry(neededExpiry, ExpiryEntry.Kind.FILE, input.id().value()),
              RecordCodec.toJson(
                  new ExpiryEntry(ExpiryEntry.Kind.FILE, input.id().value(), input.input())));
    }
    return write.build();
  }

  private Either<Outcome, Job> matchExisting(Job earlier, JobRequest request) {
    return earlier.spec().equals(request.spec())
        ? Either.right(earlier)
        : rejected(
            RefusalCode.INVALID_REQUEST,
            "the idempotency key was used for job \"" + earlier.id() + "\" with other parameters");
  }

  /** Returns a file's record. Files of other organisations are reported as not found. */
  public Either<Outcome, BatchFile> findFile(OrganisationId organisation, FileId file) {
    return readFile(organisation, file).map(e -> RecordCodec.fromEntry(e, BatchFile.class));
  }

  private Either<Outcome, Entry> readFile(OrganisationId organisation, FileId file) {
    if (!Keys.ownerOf(file.value()).equals(organisation)) {
      return rejected(RefusalCode.NOT_FOUND, "file \"" + file + "\" does not exist");
    }
    Either<StoreFailure, Snapshot> read = storeClient.read(KeyRange.ofKey(Keys.file(file)));
    if (read.isLeft()) {
      return unavailable("the store does not answer");
    }
    return read.get()
        .firstEntry()
        .<Either<Outcome, Entry>>map(Either::right)
        .orElseGet(() -> rejected(RefusalCode.NOT_FOUND, "file \"" + file + "\" does not exist"));
  }

  /**
   * Returns a job with its revision. The live key is read before the ended key, and a job moves
   * between them in one transaction, so a job that is ending is always found.
   */
  public Either<Outcome, StoredJob> find(JobId id) {
    for (String key : List.of(Keys.liveJob(id), Keys.endedJob(id))) {
      Either<StoreFailure, Snapshot> read = storeClient.read(KeyRange.ofKey(key));
      if (read.isLeft()) {
        return unavailable("the store does not answer");
      }
      if (read.get().firstEntry().isPresent()) {
        return Either.right(StoredJob.of(read.get().firstEntry().get()));
      }
    }
    return rejected(RefusalCode.NOT_FOUND, "job \"" + id + "\" does not exist");
  }

  /** Returns an organisation's jobs, newest first. */
  public Either<Outcome, List<Job>> list(OrganisationId organisation) {
    List<Job> jobs = new ArrayList<>();
    for (String prefix : List.of(Keys.liveJobs(organisation), Keys.endedJobs(organisation))) {
      Either<StoreFailure, Snapshot> read = storeClient.read(KeyRange.ofPrefix(prefix));
      if (read.isLeft()) {
        return unavailable("the store does not answer");
      }
      read.get().entries().forEach(e -> jobs.add(RecordCodec.fromEntry(e, Job.class)));
    }
    jobs.sort(java.util.Comparator.comparing(Job::created).reversed().thenComparing(Job::id));
    return Either.right(List.copyOf(jobs));
  }

  /** Returns the states of a job's chunks. */
  public Either<StoreFailure, ChunkStates> readChunkStates(Job job) {
    return storeClient
        .read(KeyRange.ofPrefix(Keys.chunkStates(job.id())))
        .map(snapshot -> ChunkStates.of(job, snapshot));
  }

  /**
   * Cancels a job. From then on no chunk can be claimed or committed. The state {@code cancelling}
   * means that a host may still hold a chunk, {@code cancelled} that no more items are sent.
   */
  public Either<Outcome, Job> cancel(JobId id) {
    for (int conflicts = 0; conflicts < MAX_CONFLICTS; conflicts++) {
      Either<Outcome, StoredJob> found = find(id);
      if (found.isLeft()) {
        return Either.left(found.getLeft());
      }
      StoredJob stored = found.get();
      if (stored.job().state().isFinal()) {
        return Either.right(stored.job());
      }
      if (stored.job().state() == JobState.CANCELLING) {
        return Either.right(endIfFinished(stored).getOrElse(stored.job()));
      }
      Job next = nextManifest(stored.job(), JobState.CANCELLING, Job.Counts.NONE);
      Transaction stateChange =
          Transaction.builder()
              .requireUnmodified(Keys.liveJob(id), stored.revision())
              .put(Keys.liveJob(id), RecordCodec.toJson(next))
              .build();
      WriteOutcome outcome = storeClient.write(stateChange, e -> isSameVersion(e, next));
      if (outcome instanceof WriteOutcome.Done done) {
        StoredJob cancelling = new StoredJob(next, done.revision());
        return Either.right(endIfFinished(cancelling).getOrElse(next));
      }
      if (outcome instanceof WriteOutcome.Unknown) {
        return Either.left(
            new Outcome.Unknown("the cancellation may have been accepted; send it again"));
      }
      if (outcome instanceof WriteOutcome.NotSent) {
        return unavailable("the store did not accept the cancellation");
      }
    }
    return unavailable("job \"" + id + "\" was modified concurrently too often");
  }

  /** Cancels a job and waits until it has ended, at most until {@code waitUntil}. */
  public Either<Outcome, Job> cancel(JobId id, Deadline waitUntil, Pause pause) {
    Either<Outcome, Job> job = cancel(id);
    while (job.exists(j -> !j.state().isFinal()) && !waitUntil.isPast(clock.instant())) {
      pause.sleep(CANCEL_POLL_INTERVAL);
      job = cancel(id);
    }
    return job;
  }

  /**
   * Ends the job if all its chunks are committed, or if it is being cancelled and no host holds a
   * chunk. Returns the ended job, or none if it has not ended or the store did not respond.
   */
  public Option<Job> endIfFinished(StoredJob stored) {
    Either<StoreFailure, ChunkStates> states = readChunkStates(stored.job());
    return states.isLeft() ? Option.none() : endIfFinished(stored, states.get());
  }

  /**
   * Does the same as {@link #endIfFinished(StoredJob)} with chunk states that the caller has read.
   * They must have been read after the manifest.
   */
  public Option<Job> endIfFinished(StoredJob stored, ChunkStates states) {
    Job job = stored.job();
    Option<JobState> end = finalState(job, states);
    if (end.isEmpty()) {
      return Option.none();
    }
    Job ended = nextManifest(job, end.get(), states.counts());
    Transaction moveToEnded =
        Transaction.builder()
            .requireUnmodified(Keys.liveJob(job.id()), stored.revision())
            .requireAbsent(Keys.endedJob(job.id()))
            .delete(Keys.liveJob(job.id()))
            .put(Keys.endedJob(job.id()), RecordCodec.toJson(ended))
            .put(
                Keys.expiryEntry(job.expires(), ExpiryEntry.Kind.JOB, job.id().value()),
                RecordCodec.toJson(
                    new ExpiryEntry(ExpiryEntry.Kind.JOB, job.id().value(), job.input())))
            .build();
    WriteOutcome outcome = storeClient.write(moveToEnded, e -> isSameVersion(e, ended));
    return outcome instanceof WriteOutcome.Done ? Option.some(ended) : Option.none();
  }

  private static Option<JobState> finalState(Job job, ChunkStates states) {
    if (states.committed() == job.input().chunks()) {
      return Option.some(states.expired() ? JobState.EXPIRED : JobState.COMPLETED);
    }
    boolean stopped = job.state() == JobState.CANCELLING && states.claimed() == 0;
    return Option.when(stopped, JobState.CANCELLED);
  }

  private Job nextManifest(Job job, JobState state, Job.Counts counts) {
    return job.withState(state, clock.instant(), counts, operationIds.get());
  }

  private static boolean isManifest(Entry entry, JobId id) {
    return entry.key().equals(Keys.liveJob(id)) || entry.key().equals(Keys.endedJob(id));
  }

  private static boolean isSameVersion(Entry entry, Job job) {
    return isManifest(entry, job.id())
        && RecordCodec.fromEntry(entry, Job.class).operation().equals(job.operation());
  }

  private <T> Either<Outcome, T> unavailable(String message) {
    return Either.left(
        new Outcome.Refused(
            new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(RETRY_AFTER))));
  }

  private <T> Either<Outcome, T> rejected(RefusalCode code, String message) {
    return Either.left(new Outcome.Refused(new Refusal(code, message, clock.instant())));
  }
}
