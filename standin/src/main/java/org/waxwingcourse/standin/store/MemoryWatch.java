package org.waxwingcourse.standin.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * A watch that tracks the last revision that it has delivered. Deliveries never overlap: a call
 * during a delivery makes the delivering thread check for changes once more.
 */
final class MemoryWatch implements Watch {
  private final KeyRange range;
  private final WatchListener listener;
  private final Consumer<MemoryWatch> onClosed;
  private final AtomicInteger pendingCalls = new AtomicInteger();
  private volatile boolean closed;
  private long lastRevision;

  MemoryWatch(
      KeyRange range, Revision after, WatchListener listener, Consumer<MemoryWatch> onClosed) {
    this.range = range;
    this.lastRevision = after.value();
    this.listener = listener;
    this.onClosed = onClosed;
  }

  /** Returns the changes of a range that follow a revision, or empty if they are compacted. */
  interface ChangeSource {
    Optional<List<EntryTable.RecordedChange>> changesAfter(KeyRange range, long revision);
  }

  void deliver(ChangeSource source) {
    if (pendingCalls.getAndIncrement() > 0) {
      return;
    }
    int seen;
    do {
      seen = pendingCalls.get();
      deliverOnce(source);
    } while (!pendingCalls.compareAndSet(seen, 0));
  }

  void fail(StoreFailure failure) {
    if (!closed) {
      close();
      listener.onBroken(failure);
    }
  }

  @Override
  public void close() {
    closed = true;
    onClosed.accept(this);
  }

  private void deliverOnce(ChangeSource source) {
    if (closed) {
      return;
    }
    Optional<List<EntryTable.RecordedChange>> changes = source.changesAfter(range, lastRevision);
    if (changes.isEmpty()) {
      String message = "changes after revision " + lastRevision + " have been compacted";
      fail(new StoreFailure(StoreFailure.Kind.UNREACHABLE, message));
    } else if (!changes.get().isEmpty()) {
      notifyListener(changes.get());
    }
  }

  private void notifyListener(List<EntryTable.RecordedChange> changes) {
    Map<String, EntryTable.RecordedChange> lastChangeByKey = new LinkedHashMap<>();
    changes.forEach(change -> lastChangeByKey.put(change.entry().key(), change));
    List<Entry> puts = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    for (EntryTable.RecordedChange change : lastChangeByKey.values()) {
      if (change.deleted()) {
        deletes.add(change.entry().key());
      } else {
        puts.add(change.entry());
      }
    }
    lastRevision = changes.get(changes.size() - 1).revision();
    listener.onChanges(Revision.of(lastRevision), puts, deletes);
  }
}
