package org.waxwingcourse.standin.store;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/** Maps keys to entries with revisions and keeps a bounded history of changes. Not thread-safe. */
final class EntryTable {
  private static final int MAX_HISTORY_CHANGES = 20_000;
  private static final long MAX_HISTORY_BYTES = 64L << 20;

  /** One change in the history. A deleted entry carries the revision of its deletion. */
  record RecordedChange(Entry entry, boolean deleted, Instant changedAt) {
    long revision() {
      return entry.modified().value();
    }
  }

  private final NavigableMap<String, Entry> entries = new TreeMap<>();
  private final ArrayDeque<RecordedChange> history = new ArrayDeque<>();
  private long historyBytes;
  private long compactedRevision;
  private long revision = 1;

  Snapshot read(KeyRange range) {
    return new Snapshot(Revision.of(revision), entriesIn(range));
  }

  WriteOutcome apply(Transaction transaction, Instant now) {
    boolean satisfied = transaction.compares().stream().allMatch(this::isSatisfied);
    if (!satisfied) {
      return new WriteOutcome.Lost(Revision.of(revision), comparedEntries(transaction));
    }
    Revision next = Revision.of(revision + 1);
    boolean changed = false;
    for (Transaction.Change change : transaction.changes()) {
      changed |= applyChange(change, next, now);
    }
    if (changed) {
      revision++;
    }
    return new WriteOutcome.Done(Revision.of(revision));
  }

  /** Deletes all entries that are attached to a lease, in one revision. */
  void deleteAttachedTo(LeaseId lease, Instant now) {
    List<String> keys =
        entries.values().stream().filter(e -> e.lease().equals(lease)).map(Entry::key).toList();
    if (keys.isEmpty()) {
      return;
    }
    revision++;
    keys.forEach(key -> delete(key, Revision.of(revision), now));
  }

  /**
   * Returns the changes of a range after a revision, oldest first, or empty if the history no
   * longer goes back to that revision.
   */
  Optional<List<RecordedChange>> changesAfter(KeyRange range, long after) {
    if (after < compactedRevision) {
      return Optional.empty();
    }
    List<RecordedChange> changes = new ArrayList<>();
    var newestFirst = history.descendingIterator();
    while (newestFirst.hasNext()) {
      RecordedChange change = newestFirst.next();
      if (change.revision() <= after) {
        break;
      }
      if (range.contains(change.entry().key())) {
        changes.add(change);
      }
    }
    Collections.reverse(changes);
    return Optional.of(changes);
  }

  private List<Entry> entriesIn(KeyRange range) {
    if (!range.prefix()) {
      return Optional.ofNullable(entries.get(range.key())).stream().toList();
    }
    return entries.tailMap(range.key(), true).values().stream()
        .takeWhile(entry -> range.contains(entry.key()))
        .toList();
  }

  private boolean isSatisfied(Transaction.Compare compare) {
    Entry entry = entries.get(compare.key());
    Revision modified = entry == null ? Revision.NONE : entry.modified();
    return modified.equals(compare.modified());
  }

  private List<Entry> comparedEntries(Transaction transaction) {
    return transaction.compares().stream()
        .flatMap(compare -> entriesIn(KeyRange.ofKey(compare.key())).stream())
        .toList();
  }

  private boolean applyChange(Transaction.Change change, Revision next, Instant now) {
    if (change instanceof Transaction.Put put) {
      Entry old = entries.get(put.key());
      Revision created = old == null ? next : old.created();
      Entry entry = new Entry(put.key(), put.value(), created, next, put.lease());
      entries.put(put.key(), entry);
      appendToHistory(new RecordedChange(entry, false, now));
      return true;
    }
    return delete(change.key(), next, now);
  }

  private boolean delete(String key, Revision next, Instant now) {
    Entry old = entries.remove(key);
    if (old == null) {
      return false;
    }
    Entry tombstone = new Entry(key, new byte[0], old.created(), next, LeaseId.NONE);
    appendToHistory(new RecordedChange(tombstone, true, now));
    return true;
  }

  private void appendToHistory(RecordedChange change) {
    history.addLast(change);
    historyBytes += change.entry().value().length;
    while (history.size() > MAX_HISTORY_CHANGES || historyBytes > MAX_HISTORY_BYTES) {
      RecordedChange oldest = history.removeFirst();
      historyBytes -= oldest.entry().value().length;
      compactedRevision = oldest.revision();
    }
  }
}
