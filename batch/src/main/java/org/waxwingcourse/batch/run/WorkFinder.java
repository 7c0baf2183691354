package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.waxwingcourse.batch.job.ChunkStates;
import org.waxwingcourse.batch.job.Jobs;
import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.ChunkEntry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.policy.batch.JobProgress;
import org.waxwingcourse.policy.batch.JobScheduler;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.StoreFailure;

/**
 * Finds free chunks and claims them with few reads. A job's chunks are read before a claim. Of the
 * jobs without free chunks, one is inspected in each poll interval, so that idle hosts cause one
 * read per host and interval. Not thread-safe.
 */
final class WorkFinder {
  private static final EventLog LOG = EventLog.of(WorkFinder.class);
  private static final int INSPECTIONS_PER_ROUND = 8;
  private static final int LIVE_JOBS_PER_IDLE_INSPECTION = 128;
  private static final int CHUNK_ITEMS = 256;

  private final Jobs jobs;
  private final ClaimStore claimStore;
  private final HeldChunkManager heldChunks;
  private final LiveJobs liveJobs;
  private final HostId host;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RunSettings settings;
  private final JobScheduler jobScheduler = new JobScheduler(CHUNK_ITEMS);
  private final Map<JobId, JobProgress> lastProgress = new HashMap<>();
  private final Deque<JobId> cancelledJobs = new ArrayDeque<>();
  private Instant nextIdleInspectionAt = Instant.MIN;

  WorkFinder(
      Jobs jobs,
      ClaimStore claimStore,
      HeldChunkManager heldChunks,
      LiveJobs liveJobs,
      HostId host,
      InstantSource clock,
      RandomGenerator random,
      RunSettings settings) {
    this.jobs = jobs;
    this.claimStore = claimStore;
    this.heldChunks = heldChunks;
    this.liveJobs = liveJobs;
    this.host = host;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
  }

  /** Schedules a job for inspection without delay. */
  void inspectAgain(JobId job) {
    lastProgress.remove(job);
    boolean cancelled =
        liveJobs.jobs().stream()
            .anyMatch(j -> j.job().id().equals(job) && j.job().state() == JobState.CANCELLING);
    if (cancelled) {
      cancelledJobs.add(job);
    }
  }

  /**
   * Inspects jobs until a chunk is claimed or no candidate is left. Returns false if the store
   * failed.
   */
  boolean claimNextChunk(LeaseTerm term) {
    List<StoredJob> knownJobs = liveJobs.jobs();
    lastProgress
        .keySet()
        .retainAll(knownJobs.stream().map(j -> j.job().id()).collect(Collectors.toSet()));
    int heldBefore = heldChunks.size();
    boolean hasRoom = heldBefore < settings.maxChunks();
    for (int inspections = 0;
        inspections < INSPECTIONS_PER_ROUND && hasRoom && heldChunks.size() == heldBefore;
        inspections++) {
      Option<StoredJob> next = chooseJob(knownJobs);
      if (next.isEmpty()) {
        return true;
      }
      if (!inspect(next.get(), term)) {
        return false;
      }
    }
    return true;
  }

  private Option<StoredJob> chooseJob(List<StoredJob> knownJobs) {
    Instant now = clock.instant();
    Map<JobId, StoredJob> byId =
        knownJobs.stream().collect(Collectors.toMap(j -> j.job().id(), j -> j));
    List<JobProgress> candidates =
        knownJobs.stream()
            .filter(j -> j.job().state() == JobState.IN_PROGRESS && mayClaim(j.job()))
            .map(j -> lastProgress.getOrDefault(j.job().id(), initialProgress(j.job())))
            .filter(p -> p.unclaimedChunks() > 0)
            .toList();
    JobId cancelled = cancelledJobs.poll();
    if (cancelled != null && byId.containsKey(cancelled)) {
      return Option.some(byId.get(cancelled));
    }
    Option<JobProgress> mostUrgent =
        Option.ofOptional(jobScheduler.nextJob(candidates, CHUNK_ITEMS, now));
    return mostUrgent.map(p -> byId.get(p.job())).orElse(() -> chooseIdleJob(knownJobs, now));
  }

  /**
   * Returns whether a chunk of a job may be claimed. The last place is reserved for organisations
   * of which this host holds no chunk.
   */
  private boolean mayClaim(Job job) {
    return heldChunks.size() < settings.maxChunks() - 1
        || !heldChunks.holdsChunkOf(job.organisation());
  }

  private Option<StoredJob> chooseIdleJob(List<StoredJob> knownJobs, Instant now) {
    if (knownJobs.isEmpty() || now.isBefore(nextIdleInspectionAt)) {
      return Option.none();
    }
    int inspections = 1 + knownJobs.size() / LIVE_JOBS_PER_IDLE_INSPECTION;
    long pollMillis = settings.pollInterval().toMillis() / inspections;
    nextIdleInspectionAt = now.plusMillis(pollMillis / 2 + random.nextLong(pollMillis));
    return Option.some(knownJobs.get(random.nextInt(knownJobs.size())));
  }

  private static JobProgress initialProgress(Job job) {
    return job.progress(Job.Counts.NONE, 0, 0);
  }

  /**
   * Reads the states of a job's chunks, then ends the job if no work is left or claims a free
   * chunk. Returns false if the store failed.
   */
  private boolean inspect(StoredJob job, LeaseTerm term) {
    Either<StoreFailure, ChunkStates> read = jobs.readChunkStates(job.job());
    if (read.isLeft()) {
      return false;
    }
    ChunkStates states = read.get();
    lastProgress.put(job.job().id(), states.progress());
    if (states.committed() == job.job().input().chunks() || isCancelledAndUnclaimed(job, states)) {
      endJob(job, states);
      return true;
    }
    recoverClaims(job, states, term);
    if (job.job().state() == JobState.IN_PROGRESS) {
      claimFreeChunk(job, states.free(), term);
    }
    return true;
  }

  private static boolean isCancelledAndUnclaimed(StoredJob job, ChunkStates states) {
    return job.job().state() == JobState.CANCELLING && states.claimed() == 0;
  }

  private void endJob(StoredJob job, ChunkStates states) {
    Option<Job> ended = jobs.endIfFinished(job, states);
    ended.forEach(j -> LOG.write(Event.BATCH_JOB_ENDED, j.id(), j.state().wireName()));
    if (ended.isEmpty()) {
      liveJobs.markStale();
    }
  }

  /**
   * Adds claims of this host that were stored although no attempt of the write received a response.
   */
  private void recoverClaims(StoredJob job, ChunkStates states, LeaseTerm term) {
    for (Map.Entry<Integer, ChunkEntry> e : states.entries().entrySet()) {
      Entry stored = states.storeEntries().get(e.getKey());
      boolean isOwnClaim = e.getValue().host().equals(host) && stored.lease().equals(term.id());
      if (isOwnClaim
          && !e.getValue().committed()
          && !heldChunks.holds(job.job().id(), e.getKey())) {
        heldChunks.add(new Claim(job, e.getKey(), stored.modified(), term));
      }
    }
  }

  /**
   * Claims a random free chunk, so that hosts that inspect the job at the same time rarely
   * conflict.
   */
  private void claimFreeChunk(StoredJob job, List<Integer> free, LeaseTerm term) {
    if (free.isEmpty() || heldChunks.size() >= settings.maxChunks()) {
      return;
    }
    int chunk = free.get(random.nextInt(free.size()));
    Option<Claim> claim = claimStore.claimChunk(job, chunk, term);
    claim.forEach(heldChunks::add);
    if (claim.isEmpty()) {
      liveJobs.markStale();
    }
  }
}
