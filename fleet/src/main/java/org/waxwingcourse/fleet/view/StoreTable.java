package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/**
 * A copy of the entries under one key prefix of the store. It is updated by this host's own reads
 * and watch and by copies from other hosts. Content that is older than the table is ignored, so the
 * table never goes back to an earlier revision.
 *
 * <p>Entries that are gone from the store may be kept for a while, since their owners may write
 * them again; they count like the others.
 *
 * <p>A change is a change of what an entry means. Engines write their entries every second with a
 * new sequence number; if each write counted, the whole table would be sent to every host each
 * time.
 *
 * <p>Listeners are called after each change, outside the lock of the content, by the thread that
 * made the change, one thread at a time: a listener that copies the content ends with the latest.
 */
public final class StoreTable {
  private static final EventLog LOG = EventLog.of(StoreTable.class);

  /** An odd constant with evenly spread bits, as used in Fibonacci hashing. */
  private static final long DIGEST_MULTIPLIER = 0x9e3779b97f4a7c15L;

  private final Map<String, MeaningfulEntry> entries = new TreeMap<>();

  /** The keys of those entries that are gone from the store. */
  private final Set<String> lapsed = new TreeSet<>();

  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final Object notification = new Object();
  private final Function<Entry, Object> meaning;
  private Revision revision = Revision.NONE;

  /**
   * What a table contains at one time.
   *
   * @param revision the revision up to which the content is known to be current
   * @param entries the entries in key order
   * @param lapsed the keys of the entries that are kept although they are gone from the store
   */
  public record Content(Revision revision, List<Entry> entries, List<String> lapsed) {
    /** Returns this content without the entries that are gone from the store. */
    public Content withoutLapsed() {
      Set<String> gone = Set.copyOf(lapsed);
      List<Entry> left = entries.stream().filter(e -> !gone.contains(e.key())).toList();
      return new Content(revision, left, List.of());
    }
  }

  /** An entry and what it means, which is read once only. */
  private record MeaningfulEntry(Entry entry, Object meaning) {}

  /** Creates an empty table in which each write of an entry is a change. */
  public StoreTable() {
    this(entry -> entry);
  }

  /**
   * Creates an empty table.
   *
   * @param meaning returns what an entry means; entries that mean the same are equal
   */
  public StoreTable(Function<Entry, Object> meaning) {
    this.meaning = meaning;
  }

  /** Returns the entries in key order. */
  public synchronized List<Entry> entries() {
    return entries.values().stream().map(MeaningfulEntry::entry).toList();
  }

  /** Returns the entry with the given key, none if there is none. */
  public synchronized Option<Entry> get(String key) {
    return Option.of(entries.get(key)).map(MeaningfulEntry::entry);
  }

  /** Returns the revision up to which the content is known to be current. */
  public synchronized Revision revision() {
    return revision;
  }

  /**
   * Returns a number that two tables with different entries hardly ever share; 0 if there are no
   * entries. It is the same on all hosts.
   */
  public synchronized long digest() {
    long digest = 0;
    for (MeaningfulEntry known : entries.values()) {
      digest = (digest ^ known.entry.key().hashCode()) * DIGEST_MULTIPLIER;
      digest = (digest ^ known.entry.modified().value()) * DIGEST_MULTIPLIER;
      digest ^= digest >>> 32;
    }
    return digest == 0 && !entries.isEmpty() ? 1 : digest;
  }

  /** Adds a listener that is called after each change. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns all that other hosts are told of the table. */
  public synchronized Content content() {
    return new Content(revision, entries(), List.copyOf(lapsed));
  }

  /**
   * Replaces the content by the result of a read of the store; the revision stays the same if the
   * content has not changed.
   */
  public void replaceFromRead(Snapshot snapshot) {
    replaceContent(new Content(snapshot.revision(), snapshot.entries(), List.of()), false);
  }

  /**
   * Replaces the content by the result of a read of the store and advances the revision even if the
   * content is the same. For a table that hosts compare by its content: of two that differ the one
   * read last holds.
   */
  public void advanceByRead(Snapshot snapshot) {
    replaceContent(new Content(snapshot.revision(), snapshot.entries(), List.of()), true);
  }

  /** Replaces the content by a copy of another host's table, unless this table is newer. */
  public void replaceFromPeer(Content peer) {
    replaceContent(peer, true);
  }

  private void replaceContent(Content content, boolean alwaysAdvance) {
    boolean changed;
    synchronized (this) {
      if (revision.isAfter(content.revision())) {
        return;
      }
      Map<String, MeaningfulEntry> newEntries = new TreeMap<>();
      content.entries().forEach(e -> newEntries.put(e.key(), read(e)));
      changed =
          !meanings(newEntries).equals(meanings(entries))
              || !lapsed.equals(Set.copyOf(content.lapsed()))
              || revision.equals(Revision.NONE);
      entries.clear();
      entries.putAll(newEntries);
      lapsed.clear();
      lapsed.addAll(content.lapsed());
      revision = changed || alwaysAdvance ? content.revision() : revision;
    }
    notifyListeners(changed);
  }

  /** Applies changes reported by a watch. */
  public void applyChanges(Revision asOf, List<Entry> puts, List<String> deletes) {
    applyChanges(asOf, puts, deletes, List.of());
  }

  /**
   * Applies changes of which some deletions are not carried out yet: the entries with the keys
   * {@code kept} stay until {@link #removeLapsed} unless they are written again.
   */
  public void applyChanges(
      Revision asOf, List<Entry> puts, List<String> deletes, List<String> kept) {
    boolean changed = false;
    synchronized (this) {
      if (!asOf.isAfter(revision)) {
        return;
      }
      for (Entry put : puts) {
        MeaningfulEntry next = read(put);
        MeaningfulEntry previous = entries.put(put.key(), next);
        changed |= previous == null || !previous.meaning.equals(next.meaning);
        changed |= lapsed.remove(put.key());
      }
      for (String key : deletes) {
        changed |= remove(key);
      }
      for (String key : kept) {
        changed |= keep(key);
      }
      revision = changed ? asOf : revision;
    }
    notifyListeners(changed);
  }

  /** Removes the entries that are kept although they are gone from the store. */
  public void removeLapsed() {
    boolean changed = false;
    synchronized (this) {
      for (String key : List.copyOf(lapsed)) {
        changed |= remove(key);
      }
    }
    notifyListeners(changed);
  }

  private boolean keep(String key) {
    return entries.containsKey(key) && lapsed.add(key);
  }

  private boolean remove(String key) {
    lapsed.remove(key);
    return entries.remove(key) != null;
  }

  private MeaningfulEntry read(Entry entry) {
    return new MeaningfulEntry(entry, meaning.apply(entry));
  }

  private static Map<String, Object> meanings(Map<String, MeaningfulEntry> content) {
    Map<String, Object> meanings = new HashMap<>();
    content.forEach((key, known) -> meanings.put(key, known.meaning));
    return meanings;
  }

  /** The content has changed already, so no later read would make up for a listener left out. */
  private static void notifyListener(Runnable listener) {
    try {
      listener.run();
    } catch (RuntimeException e) {
      LOG.write(Event.STEP_FAILED, e.toString());
    }
  }

  private void notifyListeners(boolean changed) {
    if (changed) {
      synchronized (notification) {
        listeners.forEach(StoreTable::notifyListener);
      }
    }
  }
}
