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
 * Follows the stored documents by one watch, and reads what the agreement asks for. After a broken
 * watch only the heads are read unless they have moved, so that hosts coming back together from an
 * outage do not all read whole documents.
 */
final class StoreLink {
  private static final KeyRange ALL = KeyRange.ofPrefix(ConfigurationKeys.PREFIX);
  private static final KeyRange HEADS = KeyRange.ofPrefix(ConfigurationKeys.HEADS);
  private static final Duration REOPEN_AFTER = Duration.ofMillis(300);
  private static final Duration REOPEN_SPREAD = Duration.ofMillis(1_500);

  private final Store store;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final ScheduledExecutorService timer;
  private Agreement agreement;
  private Watch watch = () -> {};
  private long watchNumber;
  private Revision watchBase = Revision.NONE;
  private boolean stopped;

  StoreLink(
      Store store, InstantSource clock, RandomGenerator random, ScheduledExecutorService timer) {
    this.store = store;
    this.clock = clock;
    this.random = random;
    this.timer = timer;
  }

  void attach(Agreement newAgreement) {
    agreement = newAgreement;
  }

  synchronized void stop() {
    stopped = true;
    watch.close();
  }

  /** Reads both heads, for evidence. */
  void readHeads() {
    Instant sentAt = clock.instant();
    store
        .read(HEADS)
        .thenAccept(
            read ->
                read.peek(s -> agreement.onHeads(sentAt, heads(s)))
                    .peekLeft(f -> agreement.onHeadsFailed()));
  }

  /** Reads both documents and watches anew from there. */
  void readDocuments() {
    Instant sentAt = clock.instant();
    store
        .read(ALL)
        .thenAccept(
            read ->
                read.peek(s -> onDocuments(sentAt, s)).peekLeft(f -> agreement.onHeadsFailed()));
  }

  /** Watches from where this host stands, or reads first if it lacks something. */
  void openWatch() {
    Instant sentAt = clock.instant();
    store
        .read(HEADS)
        .thenAccept(
            read ->
                read.peek(s -> onOpened(sentAt, s))
                    .peekLeft(
                        f -> {
                          agreement.onHeadsFailed();
                          reopenLater();
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

  private void onOpened(Instant sentAt, Snapshot snapshot) {
    Versions heads = heads(snapshot);
    if (agreement.versions().covers(heads)) {
      agreement.onHeads(sentAt, heads);
      watchFrom(snapshot.revision(), heads.configuration());
    } else {
      store
          .read(ALL)
          .thenAccept(read -> read.peek(s -> onDocuments(sentAt, s)).peekLeft(f -> reopenLater()));
    }
  }

  private void onDocuments(Instant sentAt, Snapshot snapshot) {
    offer(Revision.NONE, snapshot.entries());
    agreement.onHeads(sentAt, heads(snapshot));
    watchFrom(snapshot.revision(), heads(snapshot).configuration());
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
            ALL,
            after,
            new WatchListener() {
              @Override
              public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
                onWatched(number, puts);
              }

              @Override
              public void onBroken(StoreFailure failure) {
                reopenLater();
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
    offer(base, puts);
  }

  private void offer(Revision base, List<Entry> entries) {
    StoredDocument.configurationDelta(base, entries)
        .ifPresent((Delta d) -> agreement.onWatchedConfiguration(d));
    StoredDocument.rosterDeltas(entries).forEach(agreement::onWatchedRoster);
  }

  private synchronized void reopenLater() {
    if (!stopped) {
      long wait = REOPEN_AFTER.toMillis() + random.nextLong(REOPEN_SPREAD.toMillis());
      timer.schedule(this::openWatch, wait, TimeUnit.MILLISECONDS);
    }
  }

  private static Versions heads(Snapshot snapshot) {
    List<Entry> entries = snapshot.entries();
    return Versions.of(
        StoredDocument.revision(ConfigurationKeys.HEAD, entries).orElse(Revision.NONE),
        StoredDocument.revision(ConfigurationKeys.ROSTER, entries).orElse(Revision.NONE));
  }
}
