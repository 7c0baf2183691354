package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Expiry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Removes files, abandoned uploads and ended jobs after their retention deadline, a few entries at
 * a time. One host at a time holds the sweeper's key; two of them would do no harm. An index entry
 * is removed last, so that a sweep that was cut short is taken up again. Used by one thread.
 */
final class Sweeper {
  private static final EventLog LOG = EventLog.of(Sweeper.class);
  private static final Duration INTERVAL = Duration.ofMinutes(10);
  private static final Duration PACE = Duration.ofSeconds(5);
  private static final Duration DAY = Duration.ofDays(1);
  private static final int ENTRIES_PER_STEP = 10;

  private final StoreCalls calls;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Deque<Entry> queue = new ArrayDeque<>();
  private Instant next;

  Sweeper(StoreCalls calls, InstantSource clock, RandomGenerator random) {
    this.calls = calls;
    this.clock = clock;
    this.random = random;
    this.next = afterInterval();
  }

  private Instant afterInterval() {
    long interval = INTERVAL.toMillis();
    return clock.instant().plusMillis(interval / 2 + random.nextLong(interval));
  }

  /** Takes a step if one is due; false if the store did not answer. */
  boolean step(LeaseTerm term) {
    if (clock.instant().isBefore(next)) {
      return true;
    }
    boolean answered = queue.isEmpty() ? begin(term) : sweep();
    next = queue.isEmpty() ? afterInterval() : clock.instant().plus(PACE);
    return answered;
  }

  private boolean begin(LeaseTerm term) {
    Transaction take =
        Transaction.builder()
            .absent(Keys.SWEEPER)
            .put(Keys.SWEEPER, new byte[0], term.id())
            .build();
    WriteOutcome outcome = calls.write(take, e -> e.lease().equals(term.id()));
    return outcome instanceof WriteOutcome.Done ? readDay() : outcome instanceof WriteOutcome.Lost;
  }

  private long today() {
    return Math.floorDiv(clock.instant().getEpochSecond(), DAY.toSeconds());
  }

  private boolean readDay() {
    Either<StoreFailure, Snapshot> read = calls.read(KeyRange.ofKey(Keys.SWEPT));
    if (read.isLeft()) {
      return false;
    }
    long day = read.get().first().map(e -> Long.parseLong(e.text())).orElse(today() - 2) + 1;
    if (day > today()) {
      return true;
    }
    Either<StoreFailure, Snapshot> entries = calls.read(KeyRange.ofPrefix(Keys.expiry(day)));
    entries.forEach(s -> queue.addAll(s.entries()));
    return entries.isRight() && (!queue.isEmpty() || day == today() || advance(read.get(), day));
  }

  private boolean advance(Snapshot cursor, long day) {
    Transaction write =
        Transaction.builder()
            .unchanged(Keys.SWEPT, StoreCalls.revision(cursor))
            .put(Keys.SWEPT, Long.toString(day))
            .build();
    return !(calls.write(write, e -> false) instanceof WriteOutcome.NotSent);
  }

  private boolean sweep() {
    for (int i = 0; i < ENTRIES_PER_STEP && !queue.isEmpty(); i++) {
      Entry entry = queue.peek();
      if (!remove(entry, Codec.read(entry, Expiry.class))) {
        return false;
      }
      queue.poll();
    }
    return true;
  }

  private boolean remove(Entry index, Expiry expiry) {
    boolean done =
        switch (expiry.kind()) {
          case JOB -> removeJob(expiry);
          case FILE -> removeFile(expiry);
          case UPLOAD -> removeUpload(expiry);
        };
    return done && delete(List.of(index.key()));
  }

  private boolean removeJob(Expiry expiry) {
    JobId job = JobId.of(expiry.id());
    if (!delete(List.of(Keys.ended(job)))) {
      return false;
    }
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < expiry.input().chunks(); i++) {
      Either<StoreFailure, Snapshot> results = calls.read(KeyRange.ofPrefix(Keys.results(job, i)));
      if (results.isLeft()) {
        return false;
      }
      results.get().entries().forEach(e -> keys.add(e.key()));
      keys.add(Keys.chunk(job, i));
      keys.add(Keys.mark(job, i));
    }
    LOG.write(Event.BATCH_ENTRY_REMOVED, "job", job);
    return delete(keys);
  }

  /** A file that was kept for longer in the meantime has a later entry in the index. */
  private boolean removeFile(Expiry expiry) {
    FileId file = FileId.of(expiry.id());
    Either<StoreFailure, Snapshot> read = calls.read(KeyRange.ofKey(Keys.file(file)));
    Either<StoreFailure, Snapshot> live = calls.read(KeyRange.ofPrefix(Keys.LIVE));
    if (read.isLeft() || live.isLeft()) {
      return false;
    }
    Optional<Entry> meta = read.get().first();
    if (meta.isPresent()) {
      BatchFile stored = Codec.read(meta.get(), BatchFile.class);
      if (!stored.expires().isPast(clock.instant())) {
        return true;
      }
      if (isRead(file, live.get())) {
        return postpone(expiry);
      }
      Transaction forget =
          Transaction.builder()
              .unchanged(meta.get().key(), meta.get().modified())
              .delete(meta.get().key())
              .build();
      WriteOutcome outcome = calls.write(forget, e -> false);
      if (!(outcome instanceof WriteOutcome.Done)) {
        return outcome instanceof WriteOutcome.Lost;
      }
    }
    LOG.write(Event.BATCH_ENTRY_REMOVED, "file", file);
    return deleteChunks(file, expiry.input());
  }

  /** Looks at a file again in a day. */
  private boolean postpone(Expiry expiry) {
    String key = Keys.expiry(Deadline.after(clock, DAY), expiry.kind(), expiry.id());
    Transaction write = Transaction.builder().put(key, Codec.json(expiry)).build();
    return calls.write(write, e -> false) instanceof WriteOutcome.Done;
  }

  private static boolean isRead(FileId file, Snapshot live) {
    return live.entries().stream()
        .map(e -> Codec.read(e, Job.class))
        .anyMatch(job -> job.spec().file().equals(file));
  }

  private boolean removeUpload(Expiry expiry) {
    FileId file = FileId.of(expiry.id());
    Either<StoreFailure, Snapshot> read = calls.read(KeyRange.ofKey(Keys.file(file)));
    if (read.isLeft()) {
      return false;
    }
    boolean finished =
        read.get()
            .first()
            .map(e -> Codec.read(e, BatchFile.class).input().upload())
            .filter(expiry.input().upload()::equals)
            .isPresent();
    return finished || deleteAbandoned(file, expiry.input().upload());
  }

  /** How many chunks came is not known: deletes until the next one is absent. */
  private boolean deleteAbandoned(FileId file, String upload) {
    for (int from = 0; ; from += Transaction.MAX_OPERATIONS) {
      Either<StoreFailure, Snapshot> first =
          calls.read(KeyRange.ofKey(Keys.input(file, upload, from)));
      if (first.isLeft()) {
        return false;
      }
      if (first.get().entries().isEmpty()) {
        return true;
      }
      int end = from + Transaction.MAX_OPERATIONS;
      if (!deleteChunks(file, upload, from, end)) {
        return false;
      }
    }
  }

  private boolean deleteChunks(FileId file, Job.InputRef input) {
    return deleteChunks(file, input.upload(), 0, input.chunks());
  }

  private boolean deleteChunks(FileId file, String upload, int from, int end) {
    List<String> keys = new ArrayList<>();
    for (int i = from; i < end; i++) {
      keys.add(Keys.input(file, upload, i));
    }
    return delete(keys);
  }

  private boolean delete(List<String> keys) {
    for (int from = 0; from < keys.size(); from += Transaction.MAX_OPERATIONS) {
      Transaction.Builder write = Transaction.builder();
      int end = Math.min(keys.size(), from + Transaction.MAX_OPERATIONS);
      keys.subList(from, end).forEach(write::delete);
      if (!(calls.write(write.build(), e -> false) instanceof WriteOutcome.Done)) {
        return false;
      }
    }
    return true;
  }
}
