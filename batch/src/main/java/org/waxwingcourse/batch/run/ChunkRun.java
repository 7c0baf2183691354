package org.waxwingcourse.batch.run;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import org.waxwingcourse.batch.intake.BatchItem;
import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.batch.record.ChunkMark;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.Deadline;

/**
 * The items of one claimed chunk. Nothing is sent without a look at the lease first, and nothing
 * after {@link #stop}; {@link #quiet} says when what was sent before has ended too. Safe for use by
 * several threads; calls out of it are made without its lock.
 */
final class ChunkRun {
  private final Job job;
  private final List<BatchItem> items;
  private final ItemSlot[] slots;
  private final Limits limits;
  private Claim claim;
  private ChunkMark mark;
  private int allowed;
  private boolean stopped;
  private boolean expired;
  private int active;
  private long bytes;

  /**
   * Bounds of a run.
   *
   * @param tries how often an item is tried
   * @param bytes largest sum of the answers
   */
  record Limits(int tries, int bytes) {}

  ChunkRun(Claim claim, List<BatchItem> items, ChunkMark mark, Limits limits) {
    this.claim = claim;
    this.job = claim.job().job();
    this.items = List.copyOf(items);
    this.mark = mark;
    this.limits = limits;
    this.slots = new ItemSlot[items.size()];
    Arrays.setAll(slots, i -> new ItemSlot());
    this.allowed = job.repeatable() ? slots.length : 0;
    recall();
  }

  /** Ends the items that an earlier owner of the chunk may have sent. */
  private void recall() {
    for (int i = 0; i < mark.sentUpTo(); i++) {
      String known = i < mark.results().size() ? mark.results().get(i) : "";
      slots[i].end(
          known.isEmpty()
              ? error(i, "outcome_unknown", "the item may have run; its host was lost")
              : known);
    }
    allowed = Math.max(allowed, mark.sentUpTo());
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

  synchronized ChunkMark mark() {
    return mark;
  }

  /** Returns the number of items that are not sent and wait for nothing but their turn. */
  synchronized int backlog(Instant now) {
    int waiting = 0;
    for (ItemSlot slot : slots) {
      waiting += slot.state == ItemSlot.State.WAITING && !slot.notBefore.isAfter(now) ? 1 : 0;
    }
    return stopped ? 0 : waiting;
  }

  synchronized int active() {
    return active;
  }

  /** Returns an item that may be sent now. */
  synchronized OptionalInt ready(Instant now) {
    if (stopped || !claim.term().holds(now) || job.due().isPast(now)) {
      return OptionalInt.empty();
    }
    for (int i = 0; i < allowed; i++) {
      if (slots[i].state == ItemSlot.State.WAITING && !slots[i].notBefore.isAfter(now)) {
        return OptionalInt.of(i);
      }
    }
    return OptionalInt.empty();
  }

  /** Takes a ready item and returns the number of the attempt. */
  synchronized int begin(int i, Deadline giveUp) {
    slots[i].activate(giveUp.at());
    active++;
    return slots[i].attempt;
  }

  /** Asked last before an item is sent: false if it may not be, and then it waits again. */
  synchronized boolean maySend(int i, int attempt, Instant now) {
    if (isStale(i, attempt)) {
      return false;
    }
    if (stopped || !claim.term().holds(now)) {
      active--;
      slots[i].await(now);
      return false;
    }
    slots[i].sent = true;
    return true;
  }

  /** Tells how an item that was sent can be cancelled. */
  void sent(int i, int attempt, Call call) {
    boolean late;
    synchronized (this) {
      late = stopped && !isStale(i, attempt);
      if (!isStale(i, attempt)) {
        slots[i].call = call;
      }
    }
    if (late) {
      call.cancel();
    }
  }

  /** Takes the end of an attempt; one that was given up on before has no effect. */
  synchronized void ended(
      int i, int attempt, Outcome outcome, int status, String body, Instant now) {
    if (isStale(i, attempt)) {
      return;
    }
    active--;
    if (stopped) {
      slots[i].await(now);
      return;
    }
    boolean counts = !(outcome instanceof Outcome.Refused);
    slots[i].tries += counts ? 1 : 0;
    boolean repeatable = job.repeatable();
    settle(i, ItemFate.of(outcome, status, slots[i].tries, limits.tries(), repeatable, now), body);
  }

  private void settle(int i, ItemFate fate, String body) {
    if (fate instanceof ItemFate.Again again) {
      slots[i].await(again.notBefore());
    } else if (fate instanceof ItemFate.Error error) {
      slots[i].end(error(i, error.code(), error.message()));
    } else if (bytes + body.length() > limits.bytes()) {
      slots[i].end(error(i, "answer_too_large", "the answers to the chunk exceed its limit"));
    } else if (fate instanceof ItemFate.Answered answered) {
      String id = items.get(i).customId();
      bytes += body.length();
      slots[i].end(ResultLines.answered(job.id(), line(i), id, answered.status(), body));
    }
  }

  private boolean isStale(int i, int attempt) {
    return slots[i].attempt != attempt || slots[i].state != ItemSlot.State.ACTIVE;
  }

  /** Ends attempts that are overdue, and items whose job is past its deadline. */
  void expire(Instant now) {
    List<Call> overdue = new ArrayList<>();
    synchronized (this) {
      for (int i = 0; i < slots.length; i++) {
        if (slots[i].state == ItemSlot.State.ACTIVE && !now.isBefore(slots[i].giveUp)) {
          giveUp(i, now, overdue);
        }
        if (slots[i].state == ItemSlot.State.WAITING && job.due().isPast(now)) {
          expired = true;
          slots[i].end(error(i, "batch_expired", "the job's deadline passed before the item ran"));
        }
      }
    }
    overdue.forEach(Call::cancel);
  }

  private void giveUp(int i, Instant now, List<Call> overdue) {
    if (slots[i].call != null) {
      overdue.add(slots[i].call);
    }
    if (slots[i].sent) {
      ended(i, slots[i].attempt, new Outcome.Unknown("no answer in time"), 0, "", now);
    } else {
      active--;
      slots[i].await(now);
    }
  }

  /** Sends nothing more and cancels what was sent. */
  void stop() {
    stopAll(List.of(this));
  }

  /** Stops several runs; no item of one starts in the place of a cancelled one of another. */
  static void stopAll(List<ChunkRun> runs) {
    List<Call> calls = new ArrayList<>();
    runs.forEach(run -> run.halt(calls));
    calls.forEach(Call::cancel);
  }

  private synchronized void halt(List<Call> calls) {
    stopped = true;
    for (ItemSlot slot : slots) {
      if (slot.state == ItemSlot.State.ACTIVE && slot.call != null) {
        calls.add(slot.call);
      }
    }
  }

  /** Tells whether the run was stopped and nothing that it sent is still open. */
  synchronized boolean quiet() {
    return stopped && active == 0;
  }

  synchronized boolean finished() {
    return !stopped && endedBelow(slots.length);
  }

  /** Tells whether the items may not be repeated, so that a stored mark says which were sent. */
  boolean isMarked() {
    return !job.repeatable();
  }

  /** Tells whether items that may be sent have not ended. */
  synchronized boolean mayGoOn() {
    return !stopped && !endedBelow(allowed);
  }

  /** Returns the mark with all that is known, for the next owner. */
  synchronized ChunkMark knownMark() {
    return new ChunkMark(allowed, lines().subList(0, allowed));
  }

  /** Tells whether items wait for a mark to be stored before they may be sent. */
  synchronized boolean awaitsMark() {
    return !stopped && allowed < slots.length && endedBelow(allowed);
  }

  private boolean endedBelow(int end) {
    for (int i = 0; i < end; i++) {
      if (slots[i].state != ItemSlot.State.ENDED) {
        return false;
      }
    }
    return true;
  }

  /** Returns the mark to be stored before the next items are sent. */
  synchronized ChunkMark nextMark(int wave) {
    int end = Math.min(slots.length, allowed + wave);
    return new ChunkMark(end, lines().subList(0, allowed));
  }

  /** The mark is stored: the items that it covers may be sent. */
  synchronized void marked(ChunkMark stored) {
    mark = stored;
    allowed = stored.sentUpTo();
  }

  /** Goes on under a new claim of the same chunk. */
  synchronized void resume(Claim next) {
    claim = next;
  }

  /** Returns the results in the order of the items. */
  synchronized List<String> lines() {
    return Arrays.stream(slots).map(s -> s.line).toList();
  }

  synchronized boolean expired() {
    return expired;
  }

  Job.Counts counts() {
    List<String> lines = lines();
    int good = (int) lines.stream().filter(l -> l.charAt(0) == Results.SUCCEEDED).count();
    return new Job.Counts(good, lines.size() - good);
  }

  /** Returns the id of an item, which is also that of its result. */
  String itemId(int i) {
    return ResultLines.id(job.id(), line(i));
  }

  private int line(int i) {
    return claim.chunk() * 1000 + i;
  }

  private String error(int i, String code, String message) {
    return ResultLines.error(job.id(), line(i), items.get(i).customId(), code, message);
  }
}
