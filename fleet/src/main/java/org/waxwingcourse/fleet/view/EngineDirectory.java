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
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/** The engines listed in the store. */
public final class EngineDirectory {
  private static final EventLog LOG = EventLog.of(EngineDirectory.class);

  private final StoreTable table;
  private final EngineEntryReader reader;
  private final List<Consumer<Collection<EngineEntry>>> listeners = new CopyOnWriteArrayList<>();
  private volatile Map<UpstreamId, EngineEntry> engines = Map.of();

  /**
   * Creates a directory of the engines in a table of store entries; it follows changes of the
   * table.
   */
  public EngineDirectory(StoreTable table, EngineEntryReader reader) {
    this.table = table;
    this.reader = reader;
    table.addListener(this::refresh);
  }

  /** Returns the engine with the given id, none if it is not listed. */
  public Option<EngineEntry> findEngine(UpstreamId id) {
    return Option.of(engines.get(id));
  }

  /** Returns a listed engine if it provides the service and is not leaving. */
  public Option<EngineEntry> findUsable(UpstreamId id, ServiceName service) {
    return findEngine(id).filter(e -> e.service().equals(service) && !e.leaving());
  }

  /**
   * Adds an engine that another host has seen listed. It is known until the next change of the
   * table, which then contains it.
   */
  public synchronized void learn(EngineEntry entry) {
    if (!engines.containsKey(entry.id())) {
      Map<UpstreamId, EngineEntry> extended = new HashMap<>(engines);
      extended.put(entry.id(), entry);
      engines = extended;
    }
  }

  /** Returns all listed engines, including those that are leaving. */
  public Collection<EngineEntry> all() {
    return engines.values();
  }

  /** Adds a listener that is called with all engines after each change. */
  public void addListener(Consumer<Collection<EngineEntry>> listener) {
    listeners.add(listener);
  }

  private void refresh() {
    List<EngineEntry> snapshot;
    synchronized (this) {
      Map<UpstreamId, EngineEntry> current = new HashMap<>();
      for (Entry entry : table.entries()) {
        reader.read(entry).forEach(e -> current.put(e.id(), e));
      }
      logChanges(current);
      engines = current;
      snapshot = new ArrayList<>(current.values());
    }
    listeners.forEach(l -> l.accept(snapshot));
  }

  private void logChanges(Map<UpstreamId, EngineEntry> current) {
    long revision = table.revision().value();
    current.forEach(
        (id, entry) -> {
          EngineEntry previous = engines.get(id);
          if (previous == null || previous.leaving() != entry.leaving()) {
            LOG.write(Event.ENGINE_LISTED, id, entry.address(), entry.leaving(), revision);
          }
        });
    engines.keySet().stream()
        .filter(id -> !current.containsKey(id))
        .forEach(id -> LOG.write(Event.ENGINE_UNLISTED, id, revision));
  }
}
