package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.waxwingcourse.batch.intake.BatchItem;
import org.waxwingcourse.batch.intake.BatchItemParser;
import org.waxwingcourse.batch.job.ResultReader;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.SendCheckpoint;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Advances the chunks that this host holds: loads their items, stores checkpoints, commits results,
 * reclaims chunks after the lease expired, and releases them. Each step is repeated until the store
 * has responded. Not thread-safe.
 */
final class HeldChunkManager {
  private static final EventLog LOG = EventLog.of(HeldChunkManager.class);

  private final ClaimStore claimStore;
  private final CommitListener commitListener;
  private final ResultReader results;
  private final ItemDispatcher dispatcher;
  private final LiveJobs liveJobs;
  private final InstantSource clock;
  private final RunSettings settings;
  private final IntSupplier maxAttempts;
  private final List<HeldChunk> heldChunks = new ArrayList<>();

  /** The result of a step. */
  enum StepResult {
    /** The host still holds the chunk. */
    KEPT,
    /** The chunk was committed, released or claimed by another host. */
    REMOVED,
    /** The store did not respond, so the step must be repeated. */
    STORE_FAILED
  }

  HeldChunkManager(
      ClaimStore claimStore,
      ResultReader results,
      ItemDispatcher dispatcher,
      LiveJobs liveJobs,
      InstantSource clock,
      RunSettings settings,
      IntSupplier maxAttempts,
      CommitListener commitListener) {
    this.claimStore = claimStore;
    this.commitListener = commitListener;
    this.results = results;
    this.dispatcher = dispatcher;
    this.liveJobs = liveJobs;
    this.clock = clock;
    this.settings = settings;
    this.maxAttempts = maxAttempts;
  }

  int size() {
    return heldChunks.size();
  }

  boolean holds(JobId job, int chunk) {
    return heldChunks.stream().anyMatch(h -> h.matches(job, chunk));
  }

  boolean holdsChunkOf(OrganisationId organisation) {
    return heldChunks.stream()
        .anyMatch(h -> h.claim.job().job().organisation().equals(organisation));
  }

  void add(Claim claim) {
    heldChunks.add(new HeldChunk(claim));
  }

  /**
   * Stops the runs whose job is not in progress any more, and ends overdue attempts and items,
   * without calling the store.
   */
  void stopAndExpire(Instant now) {
    List<ChunkRun> stopping = new ArrayList<>();
    for (HeldChunk chunk : heldChunks) {
      if (!liveJobs.isCurrent(chunk.claim.job())) {
        chunk.run.forEach(stopping::add);
      }
    }
    ChunkRun.stopAll(stopping);
    heldChunks.forEach(chunk -> chunk.run.forEach(run -> run.expireItems(now)));
  }

  /**
   * Advances each chunk by one step. Returns the jobs of the removed chunks, or a store failure.
   */
  Either<StepResult, List<JobId>> advance(LeaseTerm term) {
    List<JobId> removed = new ArrayList<>();
    for (HeldChunk chunk : List.copyOf(heldChunks)) {
      StepResult result = advance(chunk, term);
      if (result == StepResult.STORE_FAILED) {
        return Either.left(result);
      }
      if (result == StepResult.REMOVED) {
        heldChunks.remove(chunk);
        chunk.run.forEach(dispatcher::remove);
        removed.add(chunk.claim.job().job().id());
      }
    }
    return Either.right(removed);
  }

  private StepResult advance(HeldChunk chunk, LeaseTerm term) {
    if (!liveJobs.isCurrent(chunk.claim.job())) {
      return releaseChunk(chunk, term);
    }
    if (chunk.claim.term() != term) {
      return reclaim(chunk, term);
    }
    if (chunk.run.isEmpty()) {
      return loadItems(chunk);
    }
    ChunkRun run = chunk.run.get();
    if (run.isFinished()) {
      return commitResults(chunk, run);
    }
    return run.needsCheckpoint() ? storeCheckpoint(chunk, run) : StepResult.KEPT;
  }

  /**
   * Commits finished chunks, and stores the checkpoints of chunks whose items may not be repeated.
   */
  void storeFinalState(LeaseTerm term) {
    for (HeldChunk chunk : heldChunks) {
      boolean isOwnClaim = chunk.claim.term() == term && liveJobs.isCurrent(chunk.claim.job());
      if (isOwnClaim && chunk.run.exists(ChunkRun::isFinished)) {
        commitResults(chunk, chunk.run.get());
      } else if (isOwnClaim && chunk.run.exists(ChunkRun::usesCheckpoints)) {
        claimStore.storeCheckpoint(chunk.claim, chunk.run.get().currentCheckpoint());
      }
    }
  }

  /**
   * Stops the chunk's run and releases the claim. The claim is kept until all items in flight have
   * ended, so that a cancellation can wait for them.
   */
  private StepResult releaseChunk(HeldChunk chunk, LeaseTerm term) {
    chunk.run.forEach(ChunkRun::stop);
    if (chunk.run.exists(run -> !run.isTerminated())) {
      return StepResult.KEPT;
    }
    if (chunk.claim.term() != term) {
      return StepResult.REMOVED;
    }
    return isResolved(claimStore.releaseChunk(chunk.claim))
        ? StepResult.REMOVED
        : StepResult.STORE_FAILED;
  }

  private StepResult reclaim(HeldChunk chunk, LeaseTerm term) {
    Option<Claim> next = claimStore.claimChunk(chunk.claim.job(), chunk.claim.chunk(), term);
    if (next.isEmpty()) {
      chunk.run.forEach(ChunkRun::stop);
      return StepResult.REMOVED;
    }
    chunk.claim = next.get();
    if (chunk.run.isEmpty()) {
      return StepResult.KEPT;
    }
    ChunkRun run = chunk.run.get();
    if (!chunk.claim.job().job().repeatable() && !isSameCheckpoint(chunk.claim, run)) {
      run.stop();
      dispatcher.remove(run);
      chunk.run = Option.none();
      return StepResult.KEPT;
    }
    run.resumeUnder(chunk.claim);
    return StepResult.KEPT;
  }

  private boolean isSameCheckpoint(Claim claim, ChunkRun run) {
    return claimStore.readCheckpoint(claim).exists(stored -> stored.equals(run.checkpoint()));
  }

  private StepResult loadItems(HeldChunk chunk) {
    Job job = chunk.claim.job().job();
    Either<StoreFailure, List<String>> lines =
        results.readInput(job.spec().file(), job.input(), chunk.claim.chunk());
    Either<StoreFailure, SendCheckpoint> checkpoint =
        job.repeatable()
            ? Either.right(SendCheckpoint.NONE)
            : claimStore.readCheckpoint(chunk.claim);
    if (lines.isLeft() || checkpoint.isLeft()) {
      return StepResult.STORE_FAILED;
    }
    List<BatchItem> items =
        lines.get().stream().map(line -> BatchItemParser.read(line).get()).toList();
    ChunkRun run = new ChunkRun(chunk.claim, items, checkpoint.get(), limits());
    chunk.run = Option.some(run);
    dispatcher.add(run);
    return run.needsCheckpoint() ? storeCheckpoint(chunk, run) : StepResult.KEPT;
  }

  private ChunkRun.Limits limits() {
    return new ChunkRun.Limits(maxAttempts.getAsInt(), settings.maxChunkBytes());
  }

  private StepResult storeCheckpoint(HeldChunk chunk, ChunkRun run) {
    SendCheckpoint next = run.nextCheckpoint(settings.checkpointItems());
    WriteOutcome outcome = claimStore.storeCheckpoint(chunk.claim, next);
    if (outcome instanceof WriteOutcome.Done) {
      run.onCheckpointStored(next);
      return StepResult.KEPT;
    }
    return handleFailedWrite(outcome, chunk, run);
  }

  private StepResult commitResults(HeldChunk chunk, ChunkRun run) {
    Job.Counts counts = run.counts();
    WriteOutcome outcome =
        claimStore.commitResults(chunk.claim, run.resultLines(), counts, run.hasExpiredItems());
    if (outcome instanceof WriteOutcome.Done) {
      int items = counts.succeeded() + counts.failed();
      int inTime = run.hasExpiredItems() ? counts.succeeded() : items;
      commitListener.onCommitted(run.job().organisation(), inTime, items);
      return StepResult.REMOVED;
    }
    return handleFailedWrite(outcome, chunk, run);
  }

  private StepResult handleFailedWrite(WriteOutcome outcome, HeldChunk chunk, ChunkRun run) {
    if (!(outcome instanceof WriteOutcome.Lost)) {
      return StepResult.STORE_FAILED;
    }
    Claim claim = run.claim();
    LOG.write(Event.BATCH_CLAIM_LOST, claim.chunk(), run.job().id(), claim.fencingNumber().value());
    run.stop();
    liveJobs.markStale();
    return releaseChunk(chunk, claim.term());
  }

  private static boolean isResolved(WriteOutcome outcome) {
    return outcome instanceof WriteOutcome.Done || outcome instanceof WriteOutcome.Lost;
  }
}
