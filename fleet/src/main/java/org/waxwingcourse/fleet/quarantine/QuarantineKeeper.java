package org.waxwingcourse.fleet.quarantine;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreAnswers;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.CrashingRequest;
import org.waxwingcourse.wire.fleet.QuarantineList;

/**
 * Keeps the quarantine in the store, from which hosts read it when they start. Only the coordinator
 * writes it; if two do, each takes over what the other has written.
 */
public final class QuarantineKeeper {
  private static final EventLog LOG = EventLog.of(QuarantineKeeper.class);

  /** Delay before a failed write is repeated. */
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** Requests with fewer crashes are mostly sound ones that shared an engine with another. */
  private static final int MIN_CRASHES_STORED = 2;

  private final Store store;
  private final PromptQuarantine quarantine;
  private final CrashingRequests requests;
  private final Clocks clocks;
  private Revision storedAt = Revision.NONE;
  private long storedDigest;
  private boolean writing;
  private Deadline retryAt;

  /** Creates a keeper of {@code quarantine} and {@code requests}. */
  public QuarantineKeeper(
      Store store, PromptQuarantine quarantine, CrashingRequests requests, Clocks clocks) {
    this.store = store;
    this.quarantine = quarantine;
    this.requests = requests;
    this.clocks = clocks;
    this.retryAt = Deadline.at(clocks.instant());
  }

  /** Takes over the stored quarantine, if it is among entries read from the store. */
  public synchronized void restore(Collection<Entry> read) {
    read.stream().filter(e -> e.key().equals(StoreKeys.QUARANTINE_KEY)).forEach(this::takeOver);
  }

  private void takeOver(Entry entry) {
    storedAt = entry.modified();
    boolean wasSame = digest() == storedDigest;
    try {
      QuarantineList list = QuarantineList.parseFrom(entry.value());
      List<QuarantinedPrompt> stored = QuarantineCodec.decode(list.getEntriesList(), clocks.now());
      for (QuarantinedPrompt prompt : stored) {
        if (quarantine.merge(prompt)) {
          LOG.write(Event.QUARANTINE_LEARNED, prompt.partsText(), prompt.lifted(), "the store");
        }
      }
      takeOver(list.getRequestsList());
    } catch (InvalidProtocolBufferException e) {
      LOG.write(Event.QUARANTINE_UNREADABLE, e.getMessage());
    }
    if (wasSame) {
      storedDigest = digest();
    }
  }

  private void takeOver(Collection<CrashingRequest> stored) {
    for (CrashRecord record : CrashRecordCodec.decode(stored, clocks.now())) {
      requests
          .merge(record, clocks.instant())
          .forEach(
              r ->
                  LOG.write(Event.CRASHING_REQUEST_LEARNED, r.request(), r.crashes(), "the store"));
    }
  }

  /** Writes the quarantine if it differs from what is stored. Called periodically. */
  public void saveIfChanged() {
    long digest = digest();
    Transaction write;
    synchronized (this) {
      if (digest == storedDigest || writing || !retryAt.isPast(clocks.instant())) {
        return;
      }
      writing = true;
      write = transaction();
    }
    StoreAnswers.handle(
        store.write(write),
        "a write of the quarantine",
        outcome -> onWritten(outcome, digest),
        failure -> retryLater());
  }

  private List<CrashRecord> storedRequests() {
    return requests.withCrashes(MIN_CRASHES_STORED);
  }

  /** Returns a number that differs if what is to be stored differs; 0 if nothing is. */
  private long digest() {
    return quarantine.digest() + storedRequests().stream().mapToLong(CrashRecord::digest).sum();
  }

  private Transaction transaction() {
    QuarantineList list =
        QuarantineList.newBuilder()
            .addAllEntries(QuarantineCodec.encode(quarantine.entries(), clocks.now()))
            .addAllRequests(
                storedRequests().stream()
                    .map(r -> CrashRecordCodec.encode(r, clocks.now()))
                    .toList())
            .build();
    Transaction.Builder builder = Transaction.builder();
    if (storedAt.equals(Revision.NONE)) {
      builder.requireAbsent(StoreKeys.QUARANTINE_KEY);
    } else {
      builder.requireUnmodified(StoreKeys.QUARANTINE_KEY, storedAt);
    }
    return builder.put(StoreKeys.QUARANTINE_KEY, list.toByteArray()).build();
  }

  private synchronized void onWritten(WriteOutcome outcome, long digest) {
    writing = false;
    if (outcome instanceof WriteOutcome.Done done) {
      storedAt = done.revision();
      storedDigest = digest;
      return;
    }
    LOG.write(Event.QUARANTINE_WRITE_WAITS, outcome);
    if (outcome instanceof WriteOutcome.Lost lost) {
      storedAt = Revision.NONE;
      restore(lost.current());
    } else {
      retryLater();
    }
  }

  private synchronized void retryLater() {
    writing = false;
    retryAt = Deadline.after(clocks.steady(), RETRY_DELAY);
  }
}
