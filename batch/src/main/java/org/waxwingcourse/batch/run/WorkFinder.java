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
import org.waxwingcourse.policy.batch.JobOrder;
import org.waxwingcourse.policy.batch.JobProgress;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.StoreFailure;

/**
 * Finds free chunks and claims them, with few reads: a job is read before a claim, and a job that
 * had no free chunk is looked at again only after a while, one such job in each poll interval, so
 * that idle hosts together cost the store a read per host and interval. Used by one thread.
 */
final class WorkFinder {
  private static final EventLog LOG = EventLog.of(WorkFinder.class);
  private static final int LOOKS_PER_ROUND = 8;
  private static final int LIVE_JOBS_PER_IDLE_LOOK = 128;
  private static final int CHUNK_ITEMS = 256;

  private final Jobs jobs;
  private final Claims claims;
  private final HeldChunks held;
  private final LiveJobs live;
  private final HostId host;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RunSettings settings;
  private final JobOrder order = new JobOrder(CHUNK_ITEMS);
  private final Map<JobId, JobProgress> lastSeen = new HashMap<>();
  private final Deque<JobId> toSettle = new ArrayDeque<>();
  private Instant nextIdleLook = Instant.MIN;

  WorkFinder(
      Jobs jobs,
      Claims claims,
      HeldChunks held,
      LiveJobs live,
      HostId host,
      InstantSource clock,
      RandomGenerator random,
      RunSettings settings) {
    this.jobs = jobs;
    this.claims = claims;
    this.held = held;
    this.live = live;
    this.host = host;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
  }

  /** Makes the job be looked at again without delay. */
  void lookAgain(JobId job) {
    lastSeen.remove(job);
    boolean cancelled =
        live.jobs().stream()
            .anyMatch(j -> j.job().id().equals(job) && j.job().state() == JobState.CANCELLING);
    if (cancelled) {
      toSettle.add(job);
    }
  }

  /** Looks for work until a chunk is claimed or none is to be had; false if the store failed. */
  boolean claimMore(LeaseTerm term) {
    List<StoredJob> known = live.jobs();
    lastSeen.keySet().retainAll(known.stream().map(j -> j.job().id()).collect(Collectors.toSet()));
    int before = held.size();
    boolean room = before < settings.chunks();
    for (int looks = 0; looks < LOOKS_PER_ROUND && room && held.size() == before; looks++) {
      Option<StoredJob> next = choose(known);
      if (next.isEmpty()) {
        return true;
      }
      if (!look(next.get(), term)) {
        return false;
      }
    }
    return true;
  }

  private Option<StoredJob> choose(List<StoredJob> known) {
    Instant now = clock.instant();
    Map<JobId, StoredJob> byId =
        known.stream().collect(Collectors.toMap(j -> j.job().id(), j -> j));
    List<JobProgress> fresh =
        known.stream()
            .filter(j -> j.job().state() == JobState.IN_PROGRESS && mayClaim(j.job()))
            .map(j -> lastSeen.getOrDefault(j.job().id(), unseen(j.job())))
            .filter(p -> p.free() > 0)
            .toList();
    JobId cancelled = toSettle.poll();
    if (cancelled != null && byId.containsKey(cancelled)) {
      return Option.some(byId.get(cancelled));
    }
    Option<JobProgress> urgent = Option.ofOptional(order.next(fresh, CHUNK_ITEMS, now));
    return urgent.map(p -> byId.get(p.job())).orElse(() -> idleLook(known, now));
  }

  /** The last slot is kept for an organisation that holds nothing here. */
  private boolean mayClaim(Job job) {
    return held.size() < settings.chunks() - 1 || !held.holdsOf(job.organisation());
  }

  private Option<StoredJob> idleLook(List<StoredJob> known, Instant now) {
    if (known.isEmpty() || now.isBefore(nextIdleLook)) {
      return Option.none();
    }
    int looks = 1 + known.size() / LIVE_JOBS_PER_IDLE_LOOK;
    long poll = settings.poll().toMillis() / looks;
    nextIdleLook = now.plusMillis(poll / 2 + random.nextLong(poll));
    return Option.some(known.get(random.nextInt(known.size())));
  }

  private static JobProgress unseen(Job job) {
    return job.progress(Job.Counts.NONE, 0, 0);
  }

  /** Reads a job's chunks, ends the job if nothing is left, and claims a free chunk. */
  private boolean look(StoredJob job, LeaseTerm term) {
    Either<StoreFailure, ChunkStates> read = jobs.states(job.job());
    if (read.isLeft()) {
      return false;
    }
    ChunkStates states = read.get();
    lastSeen.put(job.job().id(), states.progress());
    if (states.committed() == job.job().input().chunks() || noHolder(job, states)) {
      end(job, states);
      return true;
    }
    adopt(job, states, term);
    if (job.job().state() == JobState.IN_PROGRESS) {
      claimOne(job, states.free(), term);
    }
    return true;
  }

  private static boolean noHolder(StoredJob job, ChunkStates states) {
    return job.job().state() == JobState.CANCELLING && states.claimed() == 0;
  }

  private void end(StoredJob job, ChunkStates states) {
    Option<Job> ended = jobs.settle(job, states);
    ended.forEach(j -> LOG.write(Event.BATCH_JOB_ENDED, j.id(), j.state().wireName()));
    if (ended.isEmpty()) {
      live.markStale();
    }
  }

  /** Takes over claims of this host whose answers were lost for longer than they were asked for. */
  private void adopt(StoredJob job, ChunkStates states, LeaseTerm term) {
    for (Map.Entry<Integer, ChunkEntry> e : states.entries().entrySet()) {
      Entry stored = states.stored().get(e.getKey());
      boolean ours = e.getValue().host().equals(host) && stored.lease().equals(term.id());
      if (ours && !e.getValue().committed() && !held.holds(job.job().id(), e.getKey())) {
        held.add(new Claim(job, e.getKey(), stored.modified(), term));
      }
    }
  }

  /** Starts at a random chunk, so that hosts which look at the same time rarely meet. */
  private void claimOne(StoredJob job, List<Integer> free, LeaseTerm term) {
    if (free.isEmpty() || held.size() >= settings.chunks()) {
      return;
    }
    int chunk = free.get(random.nextInt(free.size()));
    Option<Claim> claim = claims.claim(job, chunk, term);
    claim.forEach(held::add);
    if (claim.isEmpty()) {
      live.markStale();
    }
  }
}
