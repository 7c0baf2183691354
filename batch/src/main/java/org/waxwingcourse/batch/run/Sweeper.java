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
import org.waxwingcourse.batch.record.ExpiryEntry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.RecordCodec;
import org.waxwingcourse.batch.store.StoreClient;
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
 * Deletes files, abandoned uploads and ended jobs after their retention deadline, a few entries at
 * a time. One host at a time holds the sweeper's lock key; concurrent sweeps would be harmless. An
 * index entry is deleted after its data, so that an interrupted sweep is resumed. Not thread-safe.
 */
final class Sweeper {
  private static final EventLog LOG = EventLog.of(Sweeper.class);
  private static final Duration SWEEP_INTERVAL = Duration.ofMinutes(10);
  private static final Duration STEP_INTERVAL = Duration.ofSeconds(5);
  private static final Duration DAY = Duration.ofDays(1);
  private static final int ENTRIES_PER_STEP = 10;

  private final StoreClient storeClient;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Deque<Entry> queue = new ArrayDeque<>();
  private Instant nextStepAt;

  Sweeper(StoreClient storeClient, InstantSource clock, RandomGenerator random) {
    this.storeClient = storeClient;
    this.clock = clock;
    this.random = random;
    this.nextStepAt = nextSweepTime();
  }

  private Instant nextSweepTime() {
    long interval = SWEEP_INTERVAL.toMillis();
    return clock.instant().plusMillis(interval / 2 + random.nextLong(interval));
  }

  /** Runs a step if one is due. Returns false if the store did not respond. */
  boolean step(LeaseTerm term) {
    if (clock.instant().isBefore(nextStepAt)) {
      return true;
    }
    boolean storeResponded = queue.isEmpty() ? startSweep(term) : deleteQueued();
    nextStepAt = queue.isEmpty() ? nextSweepTime() : clock.instant().plus(STEP_INTERVAL);
    return storeResponded;
  }

  private boolean startSweep(LeaseTerm term) {
    Transaction lockWrite =
        Transaction.builder()
            .requireAbsent(Keys.SWEEPER_LOCK)
            .put(Keys.SWEEPER_LOCK, new byte[0], term.id())
            .build();
    WriteOutcome outcome = storeClient.write(lockWrite, e -> e.lease().equals(term.id()));
    return outcome instanceof WriteOutcome.Done
        ? loadNextDay()
        : outcome instanceof WriteOutcome.Lost;
  }

  private long today() {
    return Math.floorDiv(clock.instant().getEpochSecond(), DAY.toSeconds());
  }

  private boolean loadNextDay() {
    Either<StoreFailure, Snapshot> read = storeClient.read(KeyRange.ofKey(Keys.LAST_SWEPT_DAY));
    if (read.isLeft()) {
      return false;
    }
    long day = read.get().firstEntry().map(e -> Long.parseLong(e.text())).orElse(today() - 2) + 1;
    if (day > today()) {
      return true;
    }
    Either<StoreFailure, Snapshot> entries =
        storeClient.read(KeyRange.ofPrefix(Keys.expiryDay(day)));
    entries.forEach(s -> queue.addAll(s.entries()));
    return entries.isRight() && (!queue.isEmpty() || day == today() || advanceDay(read.get(), day));
  }

  private boolean advanceDay(Snapshot cursor, long day) {
    Transaction write =
        Transaction.builder()
            .requireUnmodified(Keys.LAST_SWEPT_DAY, StoreClient.revisionOf(cursor))
            .put(Keys.LAST_SWEPT_DAY, Long.toString(day))
            .build();
    return !(storeClient.write(write, e -> false) instanceof WriteOutcome.NotSent);
  }

  private boolean deleteQueued() {
    for (int i = 0; i < ENTRIES_PER_STEP && !queue.isEmpty(); i++) {
      Entry entry = queue.peek();
      if (!deleteExpired(entry, RecordCodec.fromEntry(entry, ExpiryEntry.class))) {
        return false;
      }
      queue.poll();
    }
    return true;
  }

  private boolean deleteExpired(Entry index, ExpiryEntry expiry) {
    boolean dataDeleted =
        switch (expiry.kind()) {
          case JOB -> deleteJob(expiry);
          case FILE -> deleteFile(expiry);
          case UPLOAD -> deleteUpload(expiry);
        };
    return dataDeleted && delete(List.of(index.key()));
  }

  private boolean deleteJob(ExpiryEntry expiry) {
    JobId job = JobId.of(expiry.id());
    if (!delete(List.of(Keys.endedJob(job)))) {
      return false;
    }
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < expiry.input().chunks(); i++) {
      Either<StoreFailure, Snapshot> results =
          storeClient.read(KeyRange.ofPrefix(Keys.chunkResults(job, i)));
      if (results.isLeft()) {
        return false;
      }
      results.get().entries().forEach(e -> keys.add(e.key()));
      keys.add(Keys.chunkState(job, i));
      keys.add(Keys.sendCheckpoint(job, i));
    }
    LOG.write(Event.BATCH_ENTRY_REMOVED, "job", job);
    return delete(keys);
  }

  /**
   * Deletes a file unless it has not expired yet. A file whose retention was extended has a later
   * entry in the index.
   */
  private boolean deleteFile(ExpiryEntry expiry) {
    FileId file = FileId.of(expiry.id());
    Either<StoreFailure, Snapshot> read = storeClient.read(KeyRange.ofKey(Keys.file(file)));
    Either<StoreFailure, Snapshot> live = storeClient.read(KeyRange.ofPrefix(Keys.LIVE));
    if (read.isLeft() || live.isLeft()) {
      return false;
    }
    Optional<Entry> fileEntry = read.get().firstEntry();
    if (fileEntry.isPresent()) {
      BatchFile stored = RecordCodec.fromEntry(fileEntry.get(), BatchFile.class);
      if (!stored.expires().isPast(clock.instant())) {
        return true;
      }
      if (isUsedByLiveJob(file, live.get())) {
        return postpone(expiry);
      }
      Transaction deleteFileRecord =
          Transaction.builder()
              .requireUnmodified(fileEntry.get().key(), fileEntry.get().modified())
              .delete(fileEntry.get().key())
              .build();
      WriteOutcome outcome = storeClient.write(deleteFileRecord, e -> false);
      if (!(outcome instanceof WriteOutcome.Done)) {
        return outcome instanceof WriteOutcome.Lost;
      }
    }
    LOG.write(Event.BATCH_ENTRY_REMOVED, "file", file);
    return deleteChunks(file, expiry.input());
  }

  /** Adds an index entry so that the file is checked again in a day. */
  private boolean postpone(ExpiryEntry expiry) {
    String key = Keys.expiryEntry(Deadline.after(clock, DAY), expiry.kind(), expiry.id());
    Transaction write = Transaction.builder().put(key, RecordCodec.toJson(expiry)).build();
    return storeClient.write(write, e -> false) instanceof WriteOutcome.Done;
  }

  private static boolean isUsedByLiveJob(FileId file, Snapshot live) {
    return live.entries().stream()
        .map(e -> RecordCodec.fromEntry(e, Job.class))
        .anyMatch(job -> job.spec().file().equals(file));
  }

  private boolean deleteUpload(ExpiryEntry expiry) {
    FileId file = FileId.of(expiry.id());
    Either<StoreFailure, Snapshot> read = storeClient.read(KeyRange.ofKey(Keys.file(file)));
    if (read.isLeft()) {
      return false;
    }
    boolean finished =
        read.get()
            .firstEntry()
            .map(e -> RecordCodec.fromEntry(e, BatchFile.class).input().upload())
            .filter(expiry.input().upload()::equals)
            .isPresent();
    return finished || deleteAbandonedChunks(file, expiry.input().upload());
  }

  /**
   * Deletes the chunks of an abandoned upload. Their number is unknown, so chunks are deleted until
   * the next one is absent.
   */
  private boolean deleteAbandonedChunks(FileId file, String upload) {
    for (int from = 0; ; from += Transaction.MAX_OPERATIONS) {
      Either<StoreFailure, Snapshot> first =
          storeClient.read(KeyRange.ofKey(Keys.inputChunk(file, upload, from)));
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
      keys.add(Keys.inputChunk(file, upload, i));
    }
    return delete(keys);
  }

  private boolean delete(List<String> keys) {
    for (int from = 0; from < keys.size(); from += Transaction.MAX_OPERATIONS) {
      Transaction.Builder write = Transaction.builder();
      int end = Math.min(keys.size(), from + Transaction.MAX_OPERATIONS);
      keys.subList(from, end).forEach(write::delete);
      if (!(storeClient.write(write.build(), e -> false) instanceof WriteOutcome.Done)) {
        return false;
      }
    }
    return true;
  }
}
