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
import org.waxwingcourse.policy.batch.JobOrder;
import org.waxwingcourse.policy.batch.JobProgress;

/**
 * Sends items of the chunks that this host holds, in the order of {@link JobOrder}, inside their
 * organisations' rates and a bound on items in flight. Any thread may call it; one sends at a time.
 */
final class ItemPump {
  private final ItemSender sender;
  private final Admission admission;
  private final InstantSource clock;
  private final RunSettings settings;
  private final Runnable onProgress;
  private final JobOrder order = new JobOrder(1);
  private final List<ChunkRun> runs = new CopyOnWriteArrayList<>();
  private final AtomicInteger requests = new AtomicInteger();
  private volatile boolean draining;

  ItemPump(
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

  /** Tells whether less is waiting to be sent than may be in flight. */
  boolean wantsMore() {
    Instant now = clock.instant();
    return runs.stream().mapToInt(r -> r.backlog(now)).sum() < settings.itemsInFlight();
  }

  /** Sends nothing more but the rest of what was marked as sent already. */
  void drain() {
    draining = true;
  }

  /** Tells whether nothing is open and nothing marked is left to be sent. */
  boolean isDrained() {
    return runs.stream().allMatch(r -> r.active() == 0 && !(r.isMarked() && r.mayGoOn()));
  }

  /** Sends what may be sent now. A call while another thread is at it makes that one look again. */
  void pump() {
    if (requests.getAndIncrement() != 0) {
      return;
    }
    int missed = 1;
    while (missed != 0) {
      sendAll();
      missed = requests.addAndGet(-missed);
    }
  }

  private void sendAll() {
    boolean more = true;
    while (more) {
      more = sendOne();
    }
  }

  private boolean sendOne() {
    int active = runs.stream().mapToInt(ChunkRun::active).sum();
    if (active >= settings.itemsInFlight()) {
      return false;
    }
    Instant now = clock.instant();
    Map<JobId, ChunkRun> ready = new HashMap<>();
    for (ChunkRun run : runs) {
      if ((!draining || run.isMarked()) && run.ready(now).isPresent()) {
        ready.putIfAbsent(run.job().id(), run);
      }
    }
    List<JobProgress> jobs =
        ready.values().stream().map(r -> r.job().progress(r.job().counts(), 0, 0)).toList();
    return order.next(jobs, 1, now).map(j -> send(ready.get(j.job()), now)).orElse(false);
  }

  private boolean send(ChunkRun run, Instant now) {
    int i = run.ready(now).orElse(-1);
    if (i < 0) {
      return true;
    }
    Deadline giveUp = Deadline.at(now.plus(settings.itemTimeout())).earlier(run.job().due());
    int attempt = run.begin(i, giveUp);
    admission
        .admit(run.job().organisation(), WorkClass.BATCH, giveUp)
        .whenComplete(
            (refusal, failure) -> {
              if (failure != null) {
                finish(run, i, attempt, new Outcome.Unknown("admission failed: " + failure), 0, "");
              } else if (refusal.isDefined()) {
                finish(run, i, attempt, new Outcome.Refused(refusal.get()), 0, "");
              } else {
                submit(run, i, attempt, giveUp);
              }
            });
    return true;
  }

  private void submit(ChunkRun run, int i, int attempt, Deadline giveUp) {
    if (!run.maySend(i, attempt, clock.instant())) {
      return;
    }
    ItemSender.Outgoing item =
        new ItemSender.Outgoing(
            RequestId.random(), run.itemId(i), run.job().organisation(), run.item(i), giveUp);
    run.sent(i, attempt, sender.send(item, new Answer(run, i, attempt)));
  }

  private void finish(ChunkRun run, int i, int attempt, Outcome outcome, int status, String body) {
    run.ended(i, attempt, outcome, status, body, clock.instant());
    pump();
    if (run.finished() || run.awaitsMark() || run.quiet() || wantsMore()) {
      onProgress.run();
    }
  }

  /** Collects the answer to one attempt. */
  private final class Answer implements AnswerListener {
    private final ChunkRun run;
    private final int item;
    private final int attempt;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean tooLarge;

    Answer(ChunkRun run, int item, int attempt) {
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
      Outcome end = outcome;
      String text;
      synchronized (this) {
        text = body.toString(StandardCharsets.UTF_8);
        if (tooLarge && outcome instanceof Outcome.Done) {
          end = new Outcome.Failed(413, "the answer exceeds " + settings.maxAnswerBytes() + " B");
        }
      }
      finish(run, item, attempt, end, status, text);
    }
  }
}
