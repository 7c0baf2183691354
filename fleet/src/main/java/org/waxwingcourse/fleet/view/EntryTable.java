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
 * A copy of the entries under one prefix of the store. It is fed by this host's own watch and by
 * copies of other hosts; whatever is older than what it holds is dropped, so it never goes back.
 *
 * <p>Listeners are called after each change, outside the lock, by the thread that made it.
 */
public final class EntryTable {
  private final Map<String, Entry> entries = new TreeMap<>();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private Revision revision = Revision.NONE;

  /** Returns the entries in key order. */
  public synchronized List<Entry> entries() {
    return new ArrayList<>(entries.values());
  }

  /** Returns the entry of a key. */
  public synchronized Option<Entry> get(String key) {
    return Option.of(entries.get(key));
  }

  /** Returns the revision as of which the content is known to hold. */
  public synchronized Revision revision() {
    return revision;
  }

  /** Names something to run after each change. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /** Replaces the content by what a read saw; the revision stays if nothing has changed. */
  public void replace(Snapshot snapshot) {
    replace(snapshot.revision(), snapshot.entries(), false);
  }

  /** Replaces the content by a copy of another host's table, unless this one is newer. */
  public void copy(Revision asOf, Collection<Entry> entriesOfOther) {
    replace(asOf, entriesOfOther, true);
  }

  private void replace(Revision asOf, Collection<Entry> content, boolean advance) {
    boolean changed;
    synchronized (this) {
      if (revision.isAfter(asOf)) {
        return;
      }
      Map<String, Entry> fresh = new TreeMap<>();
      content.forEach(e -> fresh.put(e.key(), e));
      changed = !fresh.equals(entries) || revision.equals(Revision.NONE);
      entries.clear();
      entries.putAll(fresh);
      revision = changed || advance ? asOf : revision;
    }
    tell(changed);
  }

  /** Applies changes of a watch. */
  public void apply(Revision asOf, List<Entry> puts, List<String> deletes) {
    synchronized (this) {
      if (!asOf.isAfter(revision)) {
        return;
      }
      puts.forEach(e -> entries.put(e.key(), e));
      deletes.forEach(entries::remove);
      revision = asOf;
    }
    tell(true);
  }

  private void tell(boolean changed) {
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }
}
