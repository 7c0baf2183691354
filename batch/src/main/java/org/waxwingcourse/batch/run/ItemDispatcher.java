package org.waxwingcourse.batch.run;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.batch.JobProgress;
import org.waxwingcourse.policy.batch.JobScheduler;

/**
 * Sends the items of the chunks that this host holds in the order of {@link JobScheduler}, subject
 * to the rate limits of their organisations and to a limit on items in flight. Thread-safe; only
 * one thread sends at a time.
 */
final class ItemDispatcher {
  private final ItemSender sender;
  private final Admission admission;
  private final InstantSource clock;
  private final RunSettings settings;
  private final Runnable onProgress;
  private final JobScheduler scheduler = new JobScheduler(1);
  private final List<ChunkRun> runs = new CopyOnWriteArrayList<>();
  private final AtomicInteger pendingCalls = new AtomicInteger();
  private volatile boolean draining;

  ItemDispatcher(
      ItemSender sender,
      Admission admission,
      InstantSource clock,
      RunSettings settings,
      Runnable onProgress) {
    this.sender = sender;
    this.admission = admission;
    this.clock = clock;
    this.settings = settings;
    this.onProgress = onProgress;
  }

  void add(ChunkRun run) {
    runs.add(run);
  }

  void remove(ChunkRun run) {
    runs.remove(run);
  }

  Collection<ChunkRun> runs() {
    return runs;
  }

  /** Returns whether fewer items are ready to be sent than may be in flight. */
  boolean needsMoreItems() {
    Instant now = clock.instant();
    return runs.stream().mapToInt(r -> r.backlog(now)).sum() < settings.maxItemsInFlight();
  }

  /** Stops sending items except those that a stored checkpoint covers. */
  void startDraining() {
    draining = true;
  }

  /** Returns whether no items are active and all items covered by a checkpoint have ended. */
  boolean isDrained() {
    return runs.stream()
        .allMatch(r -> r.activeItems() == 0 && !(r.usesCheckpoints() && r.hasOpenSendableItems()));
  }

  /**
   * Sends all items that may be sent now. If another thread is already sending, that thread makes
   * another pass instead.
   */
  void sendReadyItems() {
    if (pendingCalls.getAndIncrement() != 0) {
      return;
    }
    int handledCalls = 1;
    while (handledCalls != 0) {
      sendAll();
      handledCalls = pendingCalls.addAndGet(-handledCalls);
    }
  }

  private void sendAll() {
    boolean more = true;
    while (more) {
      more = sendNext();
    }
  }

  private boolean sendNext() {
    int inFlight = runs.stream().mapToInt(ChunkRun::activeItems).sum();
    if (inFlight >= settings.maxItemsInFlight()) {
      return false;
    }
    Instant now = clock.instant();
    Map<JobId, ChunkRun> ready = new HashMap<>();
    for (ChunkRun run : runs) {
      if ((!draining || run.usesCheckpoints()) && run.nextReady(now).isPresent()) {
        ready.putIfAbsent(run.job().id(), run);
      }
    }
    List<JobProgress> jobs =
        ready.values().stream().map(r -> r.job().progress(r.job().counts(), 0, 0)).toList();
    return scheduler
        .nextJob(jobs, 1, now)
        .map(chosen -> sendItem(ready.get(chosen.job()), now))
        .orElse(false);
  }

  private boolean sendItem(ChunkRun run, Instant now) {
    int i = run.nextReady(now).orElse(-1);
    if (i < 0) {
      return true;
    }
    Deadline attemptDeadline =
        Deadline.at(now.plus(settings.attemptTimeout())).earlier(run.job().due());
    int attempt = run.startAttempt(i, attemptDeadline);
    admission
        .admit(run.job().organisation(), WorkClass.BATCH, attemptDeadline)
        .whenComplete(
            (refusal, failure) -> {
              if (failure != null) {
                finishAttempt(
                    run, i, attempt, new Outcome.Unknown("admission failed: " + failure), 0, "");
              } else if (refusal.isDefined()) {
                finishAttempt(run, i, attempt, new Outcome.Refused(refusal.get()), 0, "");
              } else {
                submitItem(run, i, attempt, attemptDeadline);
              }
            });
    return true;
  }

  private void submitItem(ChunkRun run, int i, int attempt, Deadline attemptDeadline) {
    if (!run.confirmSend(i, attempt, clock.instant())) {
      return;
    }
    ItemSender.OutgoingItem item =
        new ItemSender.OutgoingItem(
            RequestId.random(),
            run.resultId(i),
            run.job().organisation(),
            run.item(i),
            attemptDeadline);
    run.setCall(i, attempt, sender.send(item, new AnswerCollector(run, i, attempt)));
  }

  private void finishAttempt(
      ChunkRun run, int i, int attempt, Outcome outcome, int status, String body) {
    run.endAttempt(i, attempt, outcome, status, body, clock.instant());
    sendReadyItems();
    if (run.isFinished() || run.needsCheckpoint() || run.isTerminated() || needsMoreItems()) {
      onProgress.run();
    }
  }

  /** Collects the response to one attempt. */
  private final class AnswerCollector implements AnswerListener {
    private final ChunkRun run;
    private final int item;
    private final int attempt;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean tooLarge;

    AnswerCollector(ChunkRun run, int item, int attempt) {
      this.run = run;
      this.item = item;
      this.attempt = attempt;
    }

    @Override
    public synchronized void onStart(int newStatus, String contentType) {
      status = newStatus;
    }

    @Override
    public synchronized void onChunk(byte[] bytes) {
      tooLarge |= body.size() + bytes.length > settings.maxAnswerBytes();
      if (!tooLarge) {
        body.writeBytes(bytes);
      }
    }

    @Override
    public void onEnd(Outcome outcome) {
      Outcome finalOutcome = outcome;
      String text;
      synchronized (this) {
        text = body.toString(StandardCharsets.UTF_8);
        if (tooLarge && outcome instanceof Outcome.Done) {
          finalOutcome =
              new Outcome.Failed(413, "the answer exceeds " + settings.maxAnswerBytes() + " B");
        }
      }
      finishAttempt(run, item, attempt, finalOutcome, status, text);
    }
  }
}
