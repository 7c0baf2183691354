package org.waxwingcourse.node.agree;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.waxwingcourse.config.store.ConfigurationKeys;
import org.waxwingcourse.config.store.StoredDocument;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Delta;
import org.waxwingcourse.policy.trust.Agreement;
import org.waxwingcourse.policy.trust.Roster;
import org.waxwingcourse.policy.trust.Versions;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * Follows the stored documents with one watch and reads what the agreement requests. After a broken
 * watch only the heads are read unless they have changed, so that hosts that reconnect at the same
 * time after an outage do not all read whole documents.
 */
final class StoredDocumentWatcher {
  private static final KeyRange ALL_KEYS = KeyRange.ofPrefix(ConfigurationKeys.PREFIX);
  private static final KeyRange HEAD_KEYS = KeyRange.ofPrefix(ConfigurationKeys.HEADS);
  private static final Duration REOPEN_DELAY = Duration.ofMillis(300);
  private static final Duration REOPEN_JITTER = Duration.ofMillis(1_500);

  private final Store store;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final ScheduledExecutorService timer;
  private Agreement agreement;
  private Watch watch = () -> {};
  private long watchNumber;
  private Revision watchBase = Revision.NONE;
  private boolean stopped;

  StoredDocumentWatcher(
      Store store, InstantSource clock, RandomGenerator random, ScheduledExecutorService timer) {
    this.store = store;
    this.clock = clock;
    this.random = random;
    this.timer = timer;
  }

  void setAgreement(Agreement newAgreement) {
    agreement = newAgreement;
  }

  synchronized void stop() {
    stopped = true;
    watch.close();
  }

  /** Reads the heads of both documents as evidence. */
  void readHeads() {
    Instant sentAt = clock.instant();
    store
        .read(HEAD_KEYS)
        .thenAccept(
            read ->
                read.peek(s -> agreement.onHeads(sentAt, headVersions(s)))
                    .peekLeft(f -> agreement.onHeadsFailed()));
  }

  /** Reads both documents and opens a new watch from their revision. */
  void readDocuments() {
    Instant sentAt = clock.instant();
    store
        .read(ALL_KEYS)
        .thenAccept(
            read ->
                read.peek(s -> onDocumentsRead(sentAt, s))
                    .peekLeft(f -> agreement.onHeadsFailed()));
  }

  /** Opens a watch; reads both documents first if this host lacks a newer version. */
  void openWatch() {
    Instant sentAt = clock.instant();
    store
        .read(HEAD_KEYS)
        .thenAccept(
            read ->
                read.peek(s -> onHeadsRead(sentAt, s))
                    .peekLeft(
                        f -> {
                          agreement.onHeadsFailed();
                          scheduleReopen();
                        }));
  }

  void writeRoster(Roster next) {
    Transaction swap =
        Transaction.builder()
            .unchanged(ConfigurationKeys.ROSTER, next.previous())
            .put(ConfigurationKeys.ROSTER, RosterCodec.encode(next))
            .build();
    store.write(swap);
  }

  private void onHeadsRead(Instant sentAt, Snapshot snapshot) {
    Versions heads = headVersions(snapshot);
    if (agreement.versions().covers(heads)) {
      agreement.onHeads(sentAt, heads);
      watchFrom(snapshot.revision(), heads.configuration());
    } else {
      store
          .read(ALL_KEYS)
          .thenAccept(
              read -> read.peek(s -> onDocumentsRead(sentAt, s)).peekLeft(f -> scheduleReopen()));
    }
  }

  private void onDocumentsRead(Instant sentAt, Snapshot snapshot) {
    passToAgreement(Revision.NONE, snapshot.entries());
    agreement.onHeads(sentAt, headVersions(snapshot));
    watchFrom(snapshot.revision(), headVersions(snapshot).configuration());
  }

  private synchronized void watchFrom(Revision after, Revision base) {
    if (stopped) {
      return;
    }
    watch.close();
    watchBase = base;
    long number = ++watchNumber;
    watch =
        store.watch(
            ALL_KEYS,
            after,
            new WatchListener() {
              @Override
              public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
                onWatched(number, puts);
              }

              @Override
              public void onBroken(StoreFailure failure) {
                scheduleReopen();
              }
            });
  }

  private void onWatched(long number, List<Entry> puts) {
    Revision base;
    synchronized (this) {
      if (number != watchNumber) {
        return;
      }
      base = watchBase;
      watchBase = StoredDocument.revision(ConfigurationKeys.HEAD, puts).orElse(base);
    }
    passToAgreement(base, puts);
  }

  private void passToAgreement(Revision base, List<Entry> entries) {
    StoredDocument.configurationDelta(base, entries)
        .ifPresent((Delta d) -> agreement.onWatchedConfiguration(d));
    StoredDocument.rosterDeltas(entries).forEach(agreement::onWatchedRoster);
  }

  private synchronized void scheduleReopen() {
    if (!stopped) {
      long wait = REOPEN_DELAY.toMillis() + random.nextLong(REOPEN_JITTER.toMillis());
      timer.schedule(this::openWatch, wait, TimeUnit.MILLISECONDS);
    }
  }

  private static Versions headVersions(Snapshot snapshot) {
    List<Entry> entries = snapshot.entries();
    return Versions.of(
        StoredDocument.revision(ConfigurationKeys.HEAD, entries).orElse(Revision.NONE),
        StoredDocument.revision(ConfigurationKeys.ROSTER, entries).orElse(Revision.NONE));
  }
}
