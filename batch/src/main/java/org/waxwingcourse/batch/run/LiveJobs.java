package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * The jobs that have not ended, kept by one watch. It may lag: nothing is right because of it,
 * every write compares what it was based on. It is read anew now and then, so that a watch that
 * went silent does harm only for so long.
 */
final class LiveJobs {
  private static final Duration READ_ANEW = Duration.ofMinutes(5);
  private static final Duration AFTER_BREAK = Duration.ofSeconds(4);

  private final StoreCalls calls;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Runnable onChange;
  private final Map<JobId, StoredJob> jobs = new HashMap<>();
  private Revision seen = Revision.NONE;
  private Option<Watch> watch = Option.none();
  private long generation;
  private Instant readAt = Instant.MIN;

  LiveJobs(StoreCalls calls, InstantSource clock, RandomGenerator random, Runnable onChange) {
    this.calls = calls;
    this.clock = clock;
    this.random = random;
    this.onChange = onChange;
  }

  /** Reads the jobs anew if that is due; false if the store did not answer. */
  boolean refresh() {
    synchronized (this) {
      if (clock.instant().isBefore(readAt)) {
        return true;
      }
    }
    Either<StoreFailure, Snapshot> read = calls.read(KeyRange.ofPrefix(Keys.LIVE));
    if (read.isLeft()) {
      return false;
    }
    install(read.get());
    onChange.run();
    return true;
  }

  private void install(Snapshot snapshot) {
    Option<Watch> former;
    long current;
    synchronized (this) {
      jobs.clear();
      snapshot.entries().forEach(this::put);
      seen = snapshot.revision();
      readAt = soonAfter(READ_ANEW);
      former = watch;
      generation++;
      current = generation;
    }
    former.forEach(Watch::close);
    Watch next =
        calls
            .store()
            .watch(KeyRange.ofPrefix(Keys.LIVE), snapshot.revision(), new Listener(current));
    synchronized (this) {
      watch = Option.some(next);
    }
  }

  /** Returns an instant around the given time from now, so that hosts do not read together. */
  private Instant soonAfter(Duration time) {
    return clock.instant().plusMillis(time.toMillis() / 2 + random.nextLong(time.toMillis()));
  }

  private void put(Entry entry) {
    StoredJob job = StoredJob.of(entry);
    jobs.put(job.job().id(), job);
  }

  /** Makes the next refresh read. */
  synchronized void markStale() {
    readAt = Instant.MIN;
  }

  synchronized List<StoredJob> jobs() {
    return List.copyOf(jobs.values());
  }

  /** Tells whether a job still stands as it did when a claim on it was made, and may be run. */
  synchronized boolean isInForce(StoredJob job) {
    StoredJob now = jobs.get(job.job().id());
    return now != null
        && now.revision().equals(job.revision())
        && now.job().state() == JobState.IN_PROGRESS;
  }

  synchronized void close() {
    generation++;
    watch.forEach(Watch::close);
    watch = Option.none();
  }

  private synchronized boolean apply(
      long from, Revision revision, List<Entry> puts, List<String> deletes) {
    if (from != generation || !revision.isAfter(seen)) {
      return false;
    }
    seen = revision;
    puts.forEach(this::put);
    deletes.forEach(key -> jobs.remove(JobId.of(key.substring(key.lastIndexOf('/') + 1))));
    return true;
  }

  private final class Listener implements WatchListener {
    private final long from;

    Listener(long from) {
      this.from = from;
    }

    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      if (apply(from, revision, puts, deletes)) {
        onChange.run();
      }
    }

    @Override
    public void onBroken(StoreFailure failure) {
      synchronized (LiveJobs.this) {
        if (from == generation) {
          readAt = soonAfter(AFTER_BREAK);
        }
      }
      onChange.run();
    }
  }
}
