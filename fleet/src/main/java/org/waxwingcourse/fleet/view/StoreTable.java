package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/**
 * A copy of the entries under one key prefix of the store. It is updated by this host's own reads
 * and watch and by copies from other hosts. Content that is older than the table is ignored, so the
 * table never goes back to an earlier revision.
 *
 * <p>Listeners are called after each change, outside the lock, by the thread that made the change.
 */
public final class StoreTable {
  private final Map<String, Entry> entries = new TreeMap<>();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private Revision revision = Revision.NONE;

  /** Returns the entries in key order. */
  public synchronized List<Entry> entries() {
    return new ArrayList<>(entries.values());
  }

  /** Returns the entry with the given key, none if there is none. */
  public synchronized Option<Entry> get(String key) {
    return Option.of(entries.get(key));
  }

  /** Returns the revision up to which the content is known to be current. */
  public synchronized Revision revision() {
    return revision;
  }

  /** Adds a listener that is called after each change. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Replaces the content by the result of a read of the store; the revision stays the same if the
   * content has not changed.
   */
  public void replaceFromRead(Snapshot snapshot) {
    replaceContent(snapshot.revision(), snapshot.entries(), false);
  }

  /** Replaces the content by a copy of another host's table, unless this table is newer. */
  public void replaceFromPeer(Revision asOf, Collection<Entry> peerEntries) {
    replaceContent(asOf, peerEntries, true);
  }

  private void replaceContent(Revision asOf, Collection<Entry> content, boolean alwaysAdvance) {
    boolean changed;
    synchronized (this) {
      if (revision.isAfter(asOf)) {
        return;
      }
      Map<String, Entry> newEntries = new TreeMap<>();
      content.forEach(e -> newEntries.put(e.key(), e));
      changed = !newEntries.equals(entries) || revision.equals(Revision.NONE);
      entries.clear();
      entries.putAll(newEntries);
      revision = changed || alwaysAdvance ? asOf : revision;
    }
    notifyListeners(changed);
  }

  /** Applies changes reported by a watch. */
  public void applyChanges(Revision asOf, List<Entry> puts, List<String> deletes) {
    synchronized (this) {
      if (!asOf.isAfter(revision)) {
        return;
      }
      puts.forEach(e -> entries.put(e.key(), e));
      deletes.forEach(entries::remove);
      revision = asOf;
    }
    notifyListeners(true);
  }

  private void notifyListeners(boolean changed) {
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }
}
