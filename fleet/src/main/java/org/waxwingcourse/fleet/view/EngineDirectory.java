package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineEntryReader;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/** The engines that the store names, decoded. */
public final class EngineDirectory {
  private static final EventLog LOG = EventLog.of(EngineDirectory.class);

  private final EntryTable table;
  private final EngineEntryReader reader;
  private final List<Consumer<Collection<EngineEntry>>> listeners = new CopyOnWriteArrayList<>();
  private volatile Map<UpstreamId, EngineEntry> engines = Map.of();

  /** Creates a directory that follows a table of entries. */
  public EngineDirectory(EntryTable table, EngineEntryReader reader) {
    this.table = table;
    this.reader = reader;
    table.onChange(this::refresh);
  }

  /** Returns an engine. */
  public Option<EngineEntry> get(UpstreamId id) {
    return Option.of(engines.get(id));
  }

  /** Returns all engines, those that are leaving too. */
  public Collection<EngineEntry> all() {
    return engines.values();
  }

  /** Names a listener for each change. */
  public void onChange(Consumer<Collection<EngineEntry>> listener) {
    listeners.add(listener);
  }

  private void refresh() {
    List<EngineEntry> next;
    synchronized (this) {
      Map<UpstreamId, EngineEntry> fresh = new HashMap<>();
      for (Entry entry : table.entries()) {
        reader.read(entry).forEach(e -> fresh.put(e.id(), e));
      }
      logChanges(fresh);
      engines = fresh;
      next = new ArrayList<>(fresh.values());
    }
    listeners.forEach(l -> l.accept(next));
  }

  private void logChanges(Map<UpstreamId, EngineEntry> fresh) {
    long revision = table.revision().value();
    fresh.forEach(
        (id, entry) -> {
          EngineEntry before = engines.get(id);
          if (before == null || before.leaving() != entry.leaving()) {
            LOG.write(Event.ENGINE_LISTED, id, entry.address(), entry.leaving(), revision);
          }
        });
    engines.keySet().stream()
        .filter(id -> !fresh.containsKey(id))
        .forEach(id -> LOG.write(Event.ENGINE_UNLISTED, id, revision));
  }
}
