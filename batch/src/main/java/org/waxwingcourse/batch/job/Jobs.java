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
import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Expiry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.store.Pause;
import org.waxwingcourse.batch.store.StoreCalls;
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

/** Accepts, finds, lists, cancels and ends jobs. Every host answers the same. */
public final class Jobs {
  private static final Duration RESULTS_KEPT = Duration.ofDays(30);
  private static final Duration INPUT_OUTLIVES_RESULTS = Duration.ofDays(1);
  private static final Duration COME_BACK = Duration.ofSeconds(30);
  private static final Duration CANCEL_POLL = Duration.ofMillis(300);
  private static final int RACES = 8;

  private final StoreCalls calls;
  private final InstantSource clock;
  private final Supplier<String> operations;

  /** Creates the book of jobs over a store. */
  public Jobs(StoreCalls calls, InstantSource clock) {
    this(calls, clock, () -> UUID.randomUUID().toString());
  }

  /** As above, with the source of unique operation ids. */
  public Jobs(StoreCalls calls, InstantSource clock, Supplier<String> operations) {
    this.calls = calls;
    this.clock = clock;
    this.operations = operations;
  }

  /**
   * Accepts a job, or finds the one that the same request made before. The job is durable when this
   * returns it; {@link Outcome.Refused} says that nothing was accepted.
   */
  public Either<Outcome, Job> create(NewJob request) {
    if (request.window().isEmpty()) {
      return refused(
          RefusalCode.INVALID_REQUEST,
          "completion_window \"" + request.spec().window() + "\" is not like \"24h\"");
    }
    for (int race = 0; race < RACES; race++) {
      Either<Outcome, Entry> file = readFile(request.organisation(), request.spec().file());
      if (file.isLeft()) {
        return Either.left(file.getLeft());
      }
      BatchFile input = Codec.read(file.get(), BatchFile.class);
      if (!input.endpoints().equals(java.util.Set.of(request.spec().endpoint()))) {
        return refused(
            RefusalCode.INVALID_REQUEST,
            "endpoint \"" + request.spec().endpoint() + "\" is not that of the file's lines");
      }
      Option<Either<Outcome, Job>> end = tryCreate(request, input, file.get());
      if (end.isDefined()) {
        return end.get();
      }
    }
    return unavailable("the file changes all the time");
  }

  private Option<Either<Outcome, Job>> tryCreate(NewJob request, BatchFile input, Entry file) {
    Job job = manifest(request, input);
    WriteOutcome outcome = calls.write(creation(job, input, file), e -> isVersion(e, job));
    if (outcome instanceof WriteOutcome.Done) {
      return Option.some(Either.right(job));
    }
    if (outcome instanceof WriteOutcome.Lost lost) {
      Option<Entry> earlier =
          io.vavr.collection.List.ofAll(lost.current()).find(e -> isManifest(e, job.id()));
      return earlier.map(e -> same(Codec.read(e, Job.class), request));
    }
    return Option.some(
        outcome instanceof WriteOutcome.Unknown
            ? Either.left(new Outcome.Unknown("the job may have been accepted; send it again"))
            : unavailable("the store does not take the job"));
  }

  private Job manifest(NewJob request, BatchFile input) {
    Deadline due = Deadline.after(clock, request.window().orElseThrow());
    return new Job(
        request.id(),
        request.organisation(),
        request.spec(),
        input.input(),
        request.spec().allowsRepeats() && !request.onceOnly(),
        clock.instant(),
        due,
        Deadline.at(due.at().plus(RESULTS_KEPT)),
        JobState.IN_PROGRESS,
        clock.instant(),
        Job.Counts.NONE,
        operations.get());
  }

  /** Compares the file's record too and keeps it for longer, so that no clean-up can pass it by. */
  private Transaction creation(Job job, BatchFile input, Entry file) {
    Deadline needed = Deadline.at(job.expires().at().plus(INPUT_OUTLIVES_RESULTS));
    Transaction.Builder write =
        Transaction.builder()
            .absent(Keys.live(job.id()))
            .absent(Keys.ended(job.id()))
            .unchanged(file.key(), file.modified())
            .put(Keys.live(job.id()), Codec.json(job));
    if (needed.compareTo(input.expires()) > 0) {
      write
          .put(file.key(), Codec.json(input.keptUntil(needed, job.operation())))
          .put(
              Keys.expiry(needed, Expiry.Kind.FILE, input.id().value()),
              Codec.json(new Expiry(Expiry.Kind.FILE, input.id().value(), input.input())));
    }
    return write.build();
  }

  private Either<Outcome, Job> same(Job earlier, NewJob request) {
    return earlier.spec().equals(request.spec())
        ? Either.right(earlier)
        : refused(
            RefusalCode.INVALID_REQUEST,
            "the idempotency key was used for job \"" + earlier.id() + "\" with other parameters");
  }

  /** Returns a file's record; the file of another organisation is not found. */
  public Either<Outcome, BatchFile> file(OrganisationId organisation, FileId file) {
    return readFile(organisation, file).map(e -> Codec.read(e, BatchFile.class));
  }

  private Either<Outcome, Entry> readFile(OrganisationId organisation, FileId file) {
    if (!Keys.owner(file.value()).equals(organisation)) {
      return refused(RefusalCode.NOT_FOUND, "file \"" + file + "\" does not exist");
    }
    Either<StoreFailure, Snapshot> read = calls.read(KeyRange.ofKey(Keys.file(file)));
    if (read.isLeft()) {
      return unavailable("the store does not answer");
    }
    return read.get()
        .first()
        .<Either<Outcome, Entry>>map(Either::right)
        .orElseGet(() -> refused(RefusalCode.NOT_FOUND, "file \"" + file + "\" does not exist"));
  }

  /** Returns a job with its revision; a job that is ending is found in one place or the other. */
  public Either<Outcome, StoredJob> find(JobId id) {
    for (String key : List.of(Keys.live(id), Keys.ended(id))) {
      Either<StoreFailure, Snapshot> read = calls.read(KeyRange.ofKey(key));
      if (read.isLeft()) {
        return unavailable("the store does not answer");
      }
      if (read.get().first().isPresent()) {
        return Either.right(StoredJob.of(read.get().first().get()));
      }
    }
    return refused(RefusalCode.NOT_FOUND, "job \"" + id + "\" does not exist");
  }

  /** Returns an organisation's jobs, newest first. */
  public Either<Outcome, List<Job>> list(OrganisationId organisation) {
    List<Job> jobs = new ArrayList<>();
    for (String prefix : List.of(Keys.live(organisation), Keys.ended(organisation))) {
      Either<StoreFailure, Snapshot> read = calls.read(KeyRange.ofPrefix(prefix));
      if (read.isLeft()) {
        return unavailable("the store does not answer");
      }
      read.get().entries().forEach(e -> jobs.add(Codec.read(e, Job.class)));
    }
    jobs.sort(java.util.Comparator.comparing(Job::created).reversed().thenComparing(Job::id));
    return Either.right(List.copyOf(jobs));
  }

  /** Returns the states of a job's chunks. */
  public Either<StoreFailure, ChunkStates> states(Job job) {
    return calls
        .read(KeyRange.ofPrefix(Keys.chunks(job.id())))
        .map(snapshot -> ChunkStates.of(job, snapshot));
  }

  /**
   * Stops a job. From then on no chunk can be claimed or committed. The state {@code cancelling}
   * says that a host may still hold a chunk; {@code cancelled} that no item starts any more.
   */
  public Either<Outcome, Job> cancel(JobId id) {
    for (int race = 0; race < RACES; race++) {
      Either<Outcome, StoredJob> found = find(id);
      if (found.isLeft()) {
        return Either.left(found.getLeft());
      }
      StoredJob stored = found.get();
      if (stored.job().state().ended()) {
        return Either.right(stored.job());
      }
      if (stored.job().state() == JobState.CANCELLING) {
        return Either.right(settle(stored).getOrElse(stored.job()));
      }
      Job next = next(stored.job(), JobState.CANCELLING, Job.Counts.NONE);
      Transaction swap =
          Transaction.builder()
              .unchanged(Keys.live(id), stored.revision())
              .put(Keys.live(id), Codec.json(next))
              .build();
      WriteOutcome outcome = calls.write(swap, e -> isVersion(e, next));
      if (outcome instanceof WriteOutcome.Done done) {
        StoredJob cancelling = new StoredJob(next, done.revision());
        return Either.right(settle(cancelling).getOrElse(next));
      }
      if (outcome instanceof WriteOutcome.Unknown) {
        return Either.left(new Outcome.Unknown("the cancel may have been accepted; send it again"));
      }
      if (outcome instanceof WriteOutcome.NotSent) {
        return unavailable("the store does not take the cancel");
      }
    }
    return unavailable("job \"" + id + "\" changes all the time");
  }

  /** Cancels a job and waits until it has stopped, or until {@code patience}. */
  public Either<Outcome, Job> cancel(JobId id, Deadline patience, Pause pause) {
    Either<Outcome, Job> job = cancel(id);
    while (job.exists(j -> !j.state().ended()) && !patience.isPast(clock.instant())) {
      pause.await(CANCEL_POLL);
      job = cancel(id);
    }
    return job;
  }

  /**
   * Ends the job if all its chunks are committed, or if it is being cancelled and no host holds a
   * chunk. Returns the ended job, or none if it goes on or the store did not answer.
   */
  public Option<Job> settle(StoredJob stored) {
    Either<StoreFailure, ChunkStates> states = states(stored.job());
    return states.isLeft() ? Option.none() : settle(stored, states.get());
  }

  /** As {@link #settle(StoredJob)}, with states read after the manifest was seen in its state. */
  public Option<Job> settle(StoredJob stored, ChunkStates states) {
    Job job = stored.job();
    Option<JobState> end = endOf(job, states);
    if (end.isEmpty()) {
      return Option.none();
    }
    Job ended = next(job, end.get(), states.counts());
    Transaction move =
        Transaction.builder()
            .unchanged(Keys.live(job.id()), stored.revision())
            .absent(Keys.ended(job.id()))
            .delete(Keys.live(job.id()))
            .put(Keys.ended(job.id()), Codec.json(ended))
            .put(
                Keys.expiry(job.expires(), Expiry.Kind.JOB, job.id().value()),
                Codec.json(new Expiry(Expiry.Kind.JOB, job.id().value(), job.input())))
            .build();
    WriteOutcome outcome = calls.write(move, e -> isVersion(e, ended));
    return outcome instanceof WriteOutcome.Done ? Option.some(ended) : Option.none();
  }

  private static Option<JobState> endOf(Job job, ChunkStates states) {
    if (states.committed() == job.input().chunks()) {
      return Option.some(states.expired() ? JobState.EXPIRED : JobState.COMPLETED);
    }
    boolean stopped = job.state() == JobState.CANCELLING && states.claimed() == 0;
    return Option.when(stopped, JobState.CANCELLED);
  }

  private Job next(Job job, JobState state, Job.Counts counts) {
    return job.in(state, clock.instant(), counts, operations.get());
  }

  private static boolean isManifest(Entry entry, JobId id) {
    return entry.key().equals(Keys.live(id)) || entry.key().equals(Keys.ended(id));
  }

  private static boolean isVersion(Entry entry, Job job) {
    return isManifest(entry, job.id())
        && Codec.read(entry, Job.class).operation().equals(job.operation());
  }

  private <T> Either<Outcome, T> unavailable(String message) {
    return Either.left(
        new Outcome.Refused(
            new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(COME_BACK))));
  }

  private <T> Either<Outcome, T> refused(RefusalCode code, String message) {
    return Either.left(new Outcome.Refused(new Refusal(code, message, clock.instant())));
  }
}
