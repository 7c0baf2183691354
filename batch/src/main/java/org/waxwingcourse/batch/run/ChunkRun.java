package org.waxwingcourse.batch.run;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import org.waxwingcourse.batch.intake.BatchItem;
import org.waxwingcourse.batch.job.ResultReader;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.SendCheckpoint;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.Deadline;

/**
 * Tracks the items of one claimed chunk. The lease is checked before each item is sent, and no item
 * is sent after {@link #stop}; {@link #isTerminated} returns whether the items sent before have
 * also ended. Thread-safe. {@link Call#cancel} is called without holding its lock.
 */
final class ChunkRun {
  private final Job job;
  private final List<BatchItem> items;
  private final ItemProgress[] progress;
  private final Limits limits;
  private Claim claim;
  private SendCheckpoint checkpoint;
  private int sendableEnd;
  private boolean stopped;
  private boolean anyExpired;
  private int activeItems;
  private long answerBytes;

  /**
   * The limits of a run.
   *
   * @param maxAttempts the maximum number of attempts per item
   * @param maxChunkBytes the maximum total length of the responses in the chunk
   */
  record Limits(int maxAttempts, int maxChunkBytes) {}

  ChunkRun(Claim claim, List<BatchItem> items, SendCheckpoint checkpoint, Limits limits) {
    this.claim = claim;
    this.job = claim.job().job();
    this.items = List.copyOf(items);
    this.checkpoint = checkpoint;
    this.limits = limits;
    this.progress = new ItemProgress[items.size()];
    Arrays.setAll(progress, i -> new ItemProgress());
    this.sendableEnd = job.repeatable() ? progress.length : 0;
    restoreResults();
  }

  /**
   * Ends the items that an earlier owner of the chunk may have sent, with the result from the
   * checkpoint or an error if the result is unknown.
   */
  private void restoreResults() {
    for (int i = 0; i < checkpoint.sentUpTo(); i++) {
      String knownLine = i < checkpoint.results().size() ? checkpoint.results().get(i) : "";
      progress[i].endWith(
          knownLine.isEmpty()
              ? errorLine(i, "outcome_unknown", "the item may have run; its host was lost")
              : knownLine);
    }
    sendableEnd = Math.max(sendableEnd, checkpoint.sentUpTo());
  }

  Job job() {
    return job;
  }

  BatchItem item(int i) {
    return items.get(i);
  }

  synchronized Claim claim() {
    return claim;
  }

  synchronized SendCheckpoint checkpoint() {
    return checkpoint;
  }

  /** Returns the number of waiting items whose retry delay has passed. */
  synchronized int backlog(Instant now) {
    int waiting = 0;
    for (ItemProgress itemProgress : progress) {
      waiting +=
          itemProgress.state == ItemProgress.State.WAITING && !itemProgress.notBefore.isAfter(now)
              ? 1
              : 0;
    }
    return stopped ? 0 : waiting;
  }

  synchronized int activeItems() {
    return activeItems;
  }

  /** Returns the index of an item that may be sent now. */
  synchronized OptionalInt nextReady(Instant now) {
    if (stopped || !claim.term().holds(now) || job.due().isPast(now)) {
      return OptionalInt.empty();
    }
    for (int i = 0; i < sendableEnd; i++) {
      if (progress[i].state == ItemProgress.State.WAITING && !progress[i].notBefore.isAfter(now)) {
        return OptionalInt.of(i);
      }
    }
    return OptionalInt.empty();
  }

  /** Starts an attempt of a ready item and returns the attempt's number. */
  synchronized int startAttempt(int i, Deadline attemptDeadline) {
    progress[i].startAttempt(attemptDeadline.at());
    activeItems++;
    return progress[i].attempt;
  }

  /**
   * Checks immediately before an item is sent whether it may still be sent. If the run has stopped
   * or the lease has expired, the item returns to the waiting state.
   */
  synchronized boolean confirmSend(int i, int attempt, Instant now) {
    if (isStaleAttempt(i, attempt)) {
      return false;
    }
    if (stopped || !claim.term().holds(now)) {
      activeItems--;
      progress[i].waitUntil(now);
      return false;
    }
    progress[i].sent = true;
    return true;
  }

  /** Sets the call by which a sent item can be cancelled. */
  void setCall(int i, int attempt, Call call) {
    boolean cancelNow;
    synchronized (this) {
      cancelNow = stopped && !isStaleAttempt(i, attempt);
      if (!isStaleAttempt(i, attempt)) {
        progress[i].call = call;
      }
    }
    if (cancelNow) {
      call.cancel();
    }
  }

  /** Records the outcome of an attempt. Has no effect if the attempt was abandoned before. */
  synchronized void endAttempt(
      int i, int attempt, Outcome outcome, int status, String body, Instant now) {
    if (isStaleAttempt(i, attempt)) {
      return;
    }
    activeItems--;
    if (stopped) {
      progress[i].waitUntil(now);
      return;
    }
    boolean isCounted = !(outcome instanceof Outcome.Refused);
    progress[i].countedAttempts += isCounted ? 1 : 0;
    boolean repeatable = job.repeatable();
    applyDecision(
        i,
        AttemptDecision.of(
            outcome, status, progress[i].countedAttempts, limits.maxAttempts(), repeatable, now),
        body);
  }

  private void applyDecision(int i, AttemptDecision decision, String body) {
    if (decision instanceof AttemptDecision.Retry retry) {
      progress[i].waitUntil(retry.notBefore());
    } else if (decision instanceof AttemptDecision.Error error) {
      progress[i].endWith(errorLine(i, error.code(), error.message()));
    } else if (answerBytes + body.length() > limits.maxChunkBytes()) {
      progress[i].endWith(
          errorLine(i, "answer_too_large", "the answers to the chunk exceed its limit"));
    } else if (decision instanceof AttemptDecision.Answered answered) {
      String id = items.get(i).customId();
      answerBytes += body.length();
      progress[i].endWith(
          ResultLines.answerLine(job.id(), resultNumber(i), id, answered.status(), body));
    }
  }

  private boolean isStaleAttempt(int i, int attempt) {
    return progress[i].attempt != attempt || progress[i].state != ItemProgress.State.ACTIVE;
  }

  /**
   * Abandons attempts that are past their deadline, and ends waiting items whose job is past its
   * deadline.
   */
  void expireItems(Instant now) {
    List<Call> overdue = new ArrayList<>();
    synchronized (this) {
      for (int i = 0; i < progress.length; i++) {
        if (progress[i].state == ItemProgress.State.ACTIVE
            && !now.isBefore(progress[i].attemptDeadline)) {
          abandonAttempt(i, now, overdue);
        }
        if (progress[i].state == ItemProgress.State.WAITING && job.due().isPast(now)) {
          anyExpired = true;
          progress[i].endWith(
              errorLine(i, "batch_expired", "the job's deadline passed before the item ran"));
        }
      }
    }
    overdue.forEach(Call::cancel);
  }

  private void abandonAttempt(int i, Instant now, List<Call> overdue) {
    if (progress[i].call != null) {
      overdue.add(progress[i].call);
    }
    if (progress[i].sent) {
      endAttempt(i, progress[i].attempt, new Outcome.Unknown("no answer in time"), 0, "", now);
    } else {
      activeItems--;
      progress[i].waitUntil(now);
    }
  }

  /** Stops sending items and cancels the items in flight. */
  void stop() {
    stopAll(List.of(this));
  }

  /**
   * Stops several runs. All are stopped before any call is cancelled, so that the cancellation of
   * an item in one run does not start an item of another.
   */
  static void stopAll(List<ChunkRun> runs) {
    List<Call> calls = new ArrayList<>();
    runs.forEach(run -> run.stopAndCollectCalls(calls));
    calls.forEach(Call::cancel);
  }

  private synchronized void stopAndCollectCalls(List<Call> calls) {
    stopped = true;
    for (ItemProgress itemProgress : progress) {
      if (itemProgress.state == ItemProgress.State.ACTIVE && itemProgress.call != null) {
        calls.add(itemProgress.call);
      }
    }
  }

  /** Returns whether the run was stopped and has no active items. */
  synchronized boolean isTerminated() {
    return stopped && activeItems == 0;
  }

  synchronized boolean isFinished() {
    return !stopped && allEndedBefore(progress.length);
  }

  /**
   * Returns whether the items may not be repeated, so that a stored checkpoint is needed to record
   * which of them were sent.
   */
  boolean usesCheckpoints() {
    return !job.repeatable();
  }

  /** Returns whether the run is not stopped and items that may be sent have not ended. */
  synchronized boolean hasOpenSendableItems() {
    return !stopped && !allEndedBefore(sendableEnd);
  }

  /** Returns a checkpoint with all known results, for the next owner of the chunk. */
  synchronized SendCheckpoint currentCheckpoint() {
    return new SendCheckpoint(sendableEnd, resultLines().subList(0, sendableEnd));
  }

  /** Returns whether a checkpoint must be stored before more items may be sent. */
  synchronized boolean needsCheckpoint() {
    return !stopped && sendableEnd < progress.length && allEndedBefore(sendableEnd);
  }

  private boolean allEndedBefore(int end) {
    for (int i = 0; i < end; i++) {
      if (progress[i].state != ItemProgress.State.ENDED) {
        return false;
      }
    }
    return true;
  }

  /** Returns the checkpoint to store before the next items are sent. */
  synchronized SendCheckpoint nextCheckpoint(int itemCount) {
    int end = Math.min(progress.length, sendableEnd + itemCount);
    return new SendCheckpoint(end, resultLines().subList(0, sendableEnd));
  }

  /** Records that a checkpoint is stored, so that the items it covers may be sent. */
  synchronized void onCheckpointStored(SendCheckpoint stored) {
    checkpoint = stored;
    sendableEnd = stored.sentUpTo();
  }

  /** Continues under a new claim of the same chunk. */
  synchronized void resumeUnder(Claim next) {
    claim = next;
  }

  /** Returns the result lines in the order of the items. */
  synchronized List<String> resultLines() {
    return Arrays.stream(progress).map(itemProgress -> itemProgress.resultLine).toList();
  }

  synchronized boolean hasExpiredItems() {
    return anyExpired;
  }

  Job.Counts counts() {
    List<String> resultLines = resultLines();
    int succeeded =
        (int) resultLines.stream().filter(l -> l.charAt(0) == ResultReader.SUCCEEDED).count();
    return new Job.Counts(succeeded, resultLines.size() - succeeded);
  }

  /** Returns the id of an item's result, which is also the item's idempotency key. */
  String resultId(int i) {
    return ResultLines.resultId(job.id(), resultNumber(i));
  }

  private int resultNumber(int i) {
    return claim.chunk() * 1000 + i;
  }

  private String errorLine(int i, String code, String message) {
    return ResultLines.errorLine(job.id(), resultNumber(i), items.get(i).customId(), code, message);
  }
}
