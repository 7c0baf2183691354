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
import org.waxwingcourse.batch.store.StoreClient;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * The jobs that have not ended, kept up to date by a watch. The view may be stale; correctness does
 * not depend on it because every write compares the revisions it is based on. The jobs are reread
 * periodically to bound the effect of a watch that delivers nothing.
 */
final class LiveJobs {
  private static final Duration REREAD_INTERVAL = Duration.ofMinutes(5);
  private static final Duration REREAD_DELAY_AFTER_WATCH_FAILURE = Duration.ofSeconds(4);

  private final StoreClient storeClient;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Runnable onChange;
  private final Map<JobId, StoredJob> jobs = new HashMap<>();
  private Revision seenRevision = Revision.NONE;
  private Option<Watch> watch = Option.none();
  private long generation;
  private Instant nextReadAt = Instant.MIN;

  LiveJobs(
      StoreClient storeClient, InstantSource clock, RandomGenerator random, Runnable onChange) {
    this.storeClient = storeClient;
    this.clock = clock;
    this.random = random;
    this.onChange = onChange;
  }

  /** Rereads the jobs if that is due. Returns false if the store did not respond. */
  boolean refresh() {
    synchronized (this) {
      if (clock.instant().isBefore(nextReadAt)) {
        return true;
      }
    }
    Either<StoreFailure, Snapshot> read = storeClient.read(KeyRange.ofPrefix(Keys.LIVE));
    if (read.isLeft()) {
      return false;
    }
    replaceJobs(read.get());
    onChange.run();
    return true;
  }

  private void replaceJobs(Snapshot snapshot) {
    Option<Watch> previousWatch;
    long newGeneration;
    synchronized (this) {
      jobs.clear();
      snapshot.entries().forEach(this::putJob);
      seenRevision = snapshot.revision();
      nextReadAt = jitteredAfter(REREAD_INTERVAL);
      previousWatch = watch;
      generation++;
      newGeneration = generation;
    }
    previousWatch.forEach(Watch::close);
    Watch newWatch =
        storeClient
            .store()
            .watch(KeyRange.ofPrefix(Keys.LIVE), snapshot.revision(), new Listener(newGeneration));
    synchronized (this) {
      watch = Option.some(newWatch);
    }
  }

  /**
   * Returns an instant between 0.5 and 1.5 times {@code delay} from now, so that hosts do not
   * reread at the same time.
   */
  private Instant jitteredAfter(Duration delay) {
    return clock.instant().plusMillis(delay.toMillis() / 2 + random.nextLong(delay.toMillis()));
  }

  private void putJob(Entry entry) {
    StoredJob job = StoredJob.of(entry);
    jobs.put(job.job().id(), job);
  }

  /** Makes the next call of {@link #refresh} reread the jobs. */
  synchronized void markStale() {
    nextReadAt = Instant.MIN;
  }

  synchronized List<StoredJob> jobs() {
    return List.copyOf(jobs.values());
  }

  /**
   * Returns whether a job's manifest has not changed since {@code job} was read, and the job is in
   * progress.
   */
  synchronized boolean isCurrent(StoredJob job) {
    StoredJob known = jobs.get(job.job().id());
    return known != null
        && known.revision().equals(job.revision())
        && known.job().state() == JobState.IN_PROGRESS;
  }

  synchronized void close() {
    generation++;
    watch.forEach(Watch::close);
    watch = Option.none();
  }

  private synchronized boolean applyChanges(
      long listenerGeneration, Revision revision, List<Entry> puts, List<String> deletes) {
    if (listenerGeneration != generation || !revision.isAfter(seenRevision)) {
      return false;
    }
    seenRevision = revision;
    puts.forEach(this::putJob);
    deletes.forEach(key -> jobs.remove(JobId.of(key.substring(key.lastIndexOf('/') + 1))));
    return true;
  }

  private final class Listener implements WatchListener {
    private final long listenerGeneration;

    Listener(long listenerGeneration) {
      this.listenerGeneration = listenerGeneration;
    }

    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      if (applyChanges(listenerGeneration, revision, puts, deletes)) {
        onChange.run();
      }
    }

    @Override
    public void onFailure(StoreFailure failure) {
      synchronized (LiveJobs.this) {
        if (listenerGeneration == generation) {
          nextReadAt = jitteredAfter(REREAD_DELAY_AFTER_WATCH_FAILURE);
        }
      }
      onChange.run();
    }
  }
}
