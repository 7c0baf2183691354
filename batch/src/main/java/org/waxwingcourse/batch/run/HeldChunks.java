package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.waxwingcourse.batch.intake.BatchItem;
import org.waxwingcourse.batch.intake.LineReader;
import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.batch.record.ChunkMark;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Brings each chunk that this host holds one step further: load, mark, commit, claim again after a
 * lapse, or give back. Each step is repeated until the store has answered it. Used by one thread.
 */
final class HeldChunks {
  private static final EventLog LOG = EventLog.of(HeldChunks.class);

  private final Claims claims;
  private final CommitListener commits;
  private final Results results;
  private final ItemPump pump;
  private final LiveJobs live;
  private final InstantSource clock;
  private final RunSettings settings;
  private final IntSupplier mostTries;
  private final List<HeldChunk> held = new ArrayList<>();

  /** How a step went. */
  enum Step {
    /** The chunk stays. */
    KEPT,
    /** The chunk is committed, given back or lost. */
    GONE,
    /** The store did not answer; the step is to be repeated. */
    STORE_FAILED
  }

  HeldChunks(
      Claims claims,
      Results results,
      ItemPump pump,
      LiveJobs live,
      InstantSource clock,
      RunSettings settings,
      IntSupplier mostTries,
      CommitListener commits) {
    this.claims = claims;
    this.commits = commits;
    this.results = results;
    this.pump = pump;
    this.live = live;
    this.clock = clock;
    this.settings = settings;
    this.mostTries = mostTries;
  }

  int size() {
    return held.size();
  }

  boolean holds(JobId job, int chunk) {
    return held.stream().anyMatch(h -> h.is(job, chunk));
  }

  boolean holdsOf(OrganisationId organisation) {
    return held.stream().anyMatch(h -> h.claim.job().job().organisation().equals(organisation));
  }

  void add(Claim claim) {
    held.add(new HeldChunk(claim));
  }

  /** Ends overdue attempts and stops what may not go on, without asking the store. */
  void check(Instant now) {
    List<ChunkRun> stopping = new ArrayList<>();
    for (HeldChunk chunk : held) {
      if (!live.isInForce(chunk.claim.job())) {
        chunk.run.forEach(stopping::add);
      }
    }
    ChunkRun.stopAll(stopping);
    held.forEach(chunk -> chunk.run.forEach(run -> run.expire(now)));
  }

  /**
   * Takes one step with each chunk; returns the jobs of those that are gone, or a store failure.
   */
  Either<Step, List<JobId>> advance(LeaseTerm term) {
    List<JobId> gone = new ArrayList<>();
    for (HeldChunk chunk : List.copyOf(held)) {
      Step step = advance(chunk, term);
      if (step == Step.STORE_FAILED) {
        return Either.left(step);
      }
      if (step == Step.GONE) {
        held.remove(chunk);
        chunk.run.forEach(pump::remove);
        gone.add(chunk.claim.job().job().id());
      }
    }
    return Either.right(gone);
  }

  private Step advance(HeldChunk chunk, LeaseTerm term) {
    if (!live.isInForce(chunk.claim.job())) {
      return giveBack(chunk, term);
    }
    if (chunk.claim.term() != term) {
      return claimAgain(chunk, term);
    }
    if (chunk.run.isEmpty()) {
      return load(chunk);
    }
    ChunkRun run = chunk.run.get();
    if (run.finished()) {
      return commit(chunk, run);
    }
    return run.awaitsMark() ? mark(chunk, run) : Step.KEPT;
  }

  /** Commits finished chunks, and stores what is known of those that may not be repeated. */
  void handOver(LeaseTerm term) {
    for (HeldChunk chunk : held) {
      boolean ours = chunk.claim.term() == term && live.isInForce(chunk.claim.job());
      if (ours && chunk.run.exists(ChunkRun::finished)) {
        commit(chunk, chunk.run.get());
      } else if (ours && chunk.run.exists(ChunkRun::isMarked)) {
        claims.mark(chunk.claim, chunk.run.get().knownMark());
      }
    }
  }

  /** The claim ends only when nothing that was sent is still open, so that a cancel can wait. */
  private Step giveBack(HeldChunk chunk, LeaseTerm term) {
    chunk.run.forEach(ChunkRun::stop);
    if (chunk.run.exists(run -> !run.quiet())) {
      return Step.KEPT;
    }
    if (chunk.claim.term() != term) {
      return Step.GONE;
    }
    return answered(claims.release(chunk.claim)) ? Step.GONE : Step.STORE_FAILED;
  }

  private Step claimAgain(HeldChunk chunk, LeaseTerm term) {
    Option<Claim> next = claims.claim(chunk.claim.job(), chunk.claim.chunk(), term);
    if (next.isEmpty()) {
      chunk.run.forEach(ChunkRun::stop);
      return Step.GONE;
    }
    chunk.claim = next.get();
    if (chunk.run.isEmpty()) {
      return Step.KEPT;
    }
    ChunkRun run = chunk.run.get();
    if (!chunk.claim.job().job().repeatable() && !sameMark(chunk.claim, run)) {
      run.stop();
      pump.remove(run);
      chunk.run = Option.none();
      return Step.KEPT;
    }
    run.resume(chunk.claim);
    return Step.KEPT;
  }

  private boolean sameMark(Claim claim, ChunkRun run) {
    return claims.readMark(claim).exists(m -> m.equals(run.mark()));
  }

  private Step load(HeldChunk chunk) {
    Job job = chunk.claim.job().job();
    Either<StoreFailure, List<String>> lines =
        results.input(job.spec().file(), job.input(), chunk.claim.chunk());
    Either<StoreFailure, ChunkMark> mark =
        job.repeatable() ? Either.right(ChunkMark.NONE) : claims.readMark(chunk.claim);
    if (lines.isLeft() || mark.isLeft()) {
      return Step.STORE_FAILED;
    }
    List<BatchItem> items = lines.get().stream().map(l -> LineReader.read(l).get()).toList();
    ChunkRun run = new ChunkRun(chunk.claim, items, mark.get(), limits());
    chunk.run = Option.some(run);
    pump.add(run);
    return run.awaitsMark() ? mark(chunk, run) : Step.KEPT;
  }

  private ChunkRun.Limits limits() {
    return new ChunkRun.Limits(mostTries.getAsInt(), settings.maxChunkBytes());
  }

  private Step mark(HeldChunk chunk, ChunkRun run) {
    ChunkMark next = run.nextMark(settings.waveItems());
    WriteOutcome outcome = claims.mark(chunk.claim, next);
    if (outcome instanceof WriteOutcome.Done) {
      run.marked(next);
      return Step.KEPT;
    }
    return lost(outcome, chunk, run);
  }

  private Step commit(HeldChunk chunk, ChunkRun run) {
    Job.Counts counts = run.counts();
    WriteOutcome outcome = claims.commit(chunk.claim, run.lines(), counts, run.expired());
    if (outcome instanceof WriteOutcome.Done) {
      int items = counts.succeeded() + counts.failed();
      int inTime = run.expired() ? counts.succeeded() : items;
      commits.onCommitted(run.job().organisation(), inTime, items);
      return Step.GONE;
    }
    return lost(outcome, chunk, run);
  }

  private Step lost(WriteOutcome outcome, HeldChunk chunk, ChunkRun run) {
    if (!(outcome instanceof WriteOutcome.Lost)) {
      return Step.STORE_FAILED;
    }
    Claim claim = run.claim();
    LOG.write(Event.BATCH_CLAIM_LOST, claim.chunk(), run.job().id(), claim.fencing().value());
    run.stop();
    live.markStale();
    return giveBack(chunk, claim.term());
  }

  private static boolean answered(WriteOutcome outcome) {
    return outcome instanceof WriteOutcome.Done || outcome instanceof WriteOutcome.Lost;
  }
}
