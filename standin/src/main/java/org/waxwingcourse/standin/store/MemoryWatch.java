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
 * A watch with its own place in the history. Deliveries never overlap: a call during a delivery
 * makes the deliverer go round once more.
 */
final class MemoryWatch implements Watch {
  private final KeyRange range;
  private final WatchListener listener;
  private final Consumer<MemoryWatch> onEnded;
  private final AtomicInteger calls = new AtomicInteger();
  private volatile boolean ended;
  private long after;

  MemoryWatch(
      KeyRange range, Revision after, WatchListener listener, Consumer<MemoryWatch> onEnded) {
    this.range = range;
    this.after = after.value();
    this.listener = listener;
    this.onEnded = onEnded;
  }

  /** Reads the changes of a range after a revision. */
  interface Source {
    Optional<List<EntryTable.Change>> changesAfter(KeyRange range, long after);
  }

  void deliver(Source source) {
    if (calls.getAndIncrement() > 0) {
      return;
    }
    int seen;
    do {
      seen = calls.get();
      deliverOnce(source);
    } while (!calls.compareAndSet(seen, 0));
  }

  void breakWith(StoreFailure failure) {
    if (!ended) {
      close();
      listener.onBroken(failure);
    }
  }

  @Override
  public void close() {
    ended = true;
    onEnded.accept(this);
  }

  private void deliverOnce(Source source) {
    if (ended) {
      return;
    }
    Optional<List<EntryTable.Change>> changes = source.changesAfter(range, after);
    if (changes.isEmpty()) {
      String message = "changes after revision " + after + " are compacted";
      breakWith(new StoreFailure(StoreFailure.Kind.UNREACHABLE, message));
    } else if (!changes.get().isEmpty()) {
      handOver(changes.get());
    }
  }

  private void handOver(List<EntryTable.Change> changes) {
    Map<String, EntryTable.Change> last = new LinkedHashMap<>();
    changes.forEach(change -> last.put(change.entry().key(), change));
    List<Entry> puts = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    for (EntryTable.Change change : last.values()) {
      if (change.deleted()) {
        deletes.add(change.entry().key());
      } else {
        puts.add(change.entry());
      }
    }
    after = changes.get(changes.size() - 1).revision();
    listener.onChanges(Revision.of(after), puts, deletes);
  }
}
