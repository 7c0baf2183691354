package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineEntryReader;
import org.waxwingcourse.fleet.engine.EngineMarker;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/**
 * The engines listed in the store. An engine is leaving if its entry says so or if the same boot of
 * it has said so in an answer, to this host or another. No entry takes back what an answer said.
 */
public final class EngineDirectory {
  private static final EventLog LOG = EventLog.of(EngineDirectory.class);

  private final StoreTable table;
  private final EngineEntryReader reader;
  private final List<Consumer<Collection<EngineEntry>>> listeners = new CopyOnWriteArrayList<>();
  private final List<Runnable> statementListeners = new CopyOnWriteArrayList<>();
  private final EngineStatements statements = new EngineStatements();
  private final SendOrder sendOrder = new SendOrder();
  private final EngineMarker marker;
  private final Object notification = new Object();

  /** The keys of the entries that name no engine to use. */
  private Set<String> ignored = Set.of();

  /** The entries as they were written. */
  private Map<UpstreamId, EngineEntry> entries = Map.of();

  /** The entries with all that is known of leaving engines. */
  private volatile Map<UpstreamId, EngineEntry> engines = Map.of();

  /**
   * Creates a directory of the engines in a table of store entries; it follows changes of the
   * table.
   */
  public EngineDirectory(StoreTable table, EngineEntryReader reader) {
    this(table, reader, EngineMarker.NONE);
  }

  /** The same, where {@code marker} adds to the entries what else is known of the engines. */
  public EngineDirectory(StoreTable table, EngineEntryReader reader, EngineMarker marker) {
    this.table = table;
    this.reader = reader.ignoringFailures();
    this.marker = marker;
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

  /** Returns whether an engine of a service is listed in one of the regions, or none at all is. */
  public boolean mayServe(ServiceName service, HomeRegions homes) {
    return !homes.isRestricted()
        || engines.isEmpty()
        || engines.values().stream()
            .anyMatch(e -> e.service().equals(service) && homes.allow(e.condition().region()));
  }

  /**
   * Adds an engine, or a later boot of it, that another host has seen listed. It is known until the
   * next change of the table, which then contains it.
   */
  public synchronized void learn(EngineEntry entry) {
    EngineEntry known = entries.get(entry.id());
    if (known == null || entry.startedAtMillis() > known.startedAtMillis()) {
      Map<UpstreamId, EngineEntry> extended = new HashMap<>(entries);
      extended.put(entry.id(), entry);
      setEntries(extended);
    }
  }

  /** Records that an engine has said in its answer to a request of this host that it is leaving. */
  public void markLeaving(EngineBoot boot, RequestId request) {
    if (mark(boot)) {
      LOG.write(Event.ENGINE_SAYS_LEAVING, boot.id(), boot.startedAtMillis(), request);
      notifyListeners();
      statementListeners.forEach(Runnable::run);
    }
  }

  /** Records that engines have said in answers to other hosts that they are leaving. */
  public void learnLeaving(Collection<EngineBoot> boots, HostId reporter) {
    List<EngineBoot> added = boots.stream().filter(this::mark).toList();
    added.forEach(
        b -> LOG.write(Event.ENGINE_REPORTED_LEAVING, b.id(), b.startedAtMillis(), reporter));
    if (!added.isEmpty()) {
      notifyListeners();
    }
  }

  /**
   * Returns the engines that have said in answers that they are leaving, while their entries do
   * not.
   */
  public synchronized List<EngineBoot> leavingByAnswer() {
    return statements.leavingMissingIn(entries);
  }

  /** Returns the position of a request that this host sends at {@code wall}. */
  public synchronized long nextSendOrder(Instant wall) {
    return sendOrder.next(wall);
  }

  /** Records what an engine has said of its limit in its answer to a request of this host. */
  public void recordLimit(EngineBoot boot, LimitReading reading, RequestId request) {
    Option<RequestRate> before = limit(boot);
    if (addLimit(boot, reading)) {
      Event event =
          reading.limit().isDefined() ? Event.ENGINE_NAMES_LIMIT : Event.ENGINE_ENDS_LIMIT;
      Object named = describe(reading.limit());
      LOG.write(event, boot.id(), boot.startedAtMillis(), named, request, describe(before));
      notifyListeners();
      statementListeners.forEach(Runnable::run);
    }
  }

  /** Records what engines have said of their limits in answers to other hosts. */
  public void learnLimits(Collection<LimitChange> changes, HostId reporter) {
    List<LimitChange> news = changes.stream().filter(c -> addLimit(c.boot(), c.reading())).toList();
    for (LimitChange change : news) {
      LOG.write(
          Event.ENGINE_LIMIT_REPORTED,
          change.boot().id(),
          change.boot().startedAtMillis(),
          describe(change.reading().limit()),
          reporter);
    }
    if (!news.isEmpty()) {
      notifyListeners();
    }
  }

  /** Returns the first changes of limits after the given one that this host knows of, in order. */
  public synchronized List<LimitChange> limitChangesAfter(long version, int max) {
    return statements.limitChangesAfter(version, max);
  }

  /** Logs that an engine has named a limit that cannot be read, once for each boot. */
  public synchronized void recordUnreadableLimit(EngineBoot boot, String text, RequestId request) {
    if (statements.addUnreadable(boot, entries)) {
      LOG.write(Event.ENGINE_LIMIT_UNREADABLE, boot.id(), boot.startedAtMillis(), text, request);
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

  /** Adds a listener that is called after an engine has told this host something new of itself. */
  public void addStatementListener(Runnable listener) {
    statementListeners.add(listener);
  }

  /** Reads the entries again, after a change of what the marker adds. */
  public void refresh() {
    synchronized (this) {
      Map<UpstreamId, EngineEntry> current = new HashMap<>();
      Set<String> unusable = new HashSet<>();
      for (Entry entry : table.entries()) {
        Option<EngineEntry> read = reader.read(entry);
        for (EngineEntry engine : read) {
          current.put(engine.id(), engine);
          marker.observe(engine, entry.modified());
        }
        if (read.isEmpty() && unusable.add(entry.key()) && !ignored.contains(entry.key())) {
          LOG.write(Event.ENGINE_ENTRY_IGNORED, entry.key(), entry.modified().value());
        }
      }
      ignored = unusable;
      statements.removeSuperseded(current);
      logChanges(current);
      setEntries(current);
    }
    notifyListeners();
  }

  private synchronized boolean mark(EngineBoot boot) {
    boolean added = statements.addLeaving(boot, entries);
    if (added) {
      setEntries(entries);
    }
    return added;
  }

  /** Returns the limit that a boot has named last, none if it names none. */
  private synchronized Option<RequestRate> limit(EngineBoot boot) {
    return statements.statement(boot).limit().limit();
  }

  private synchronized boolean addLimit(EngineBoot boot, LimitReading reading) {
    sendOrder.record(reading.order());
    boolean changed = statements.addLimit(boot, reading, entries);
    if (changed) {
      setEntries(entries);
    }
    return changed;
  }

  private static Object describe(Option<RequestRate> limit) {
    return limit.<Object>map(l -> l).getOrElse("none");
  }

  private void setEntries(Map<UpstreamId, EngineEntry> next) {
    Map<UpstreamId, EngineEntry> marked = new HashMap<>();
    next.forEach((id, entry) -> marked.put(id, marker.mark(statements.applyTo(entry))));
    entries = next;
    engines = marked;
  }

  /** Passes on the present state, so that of two changes the later is passed on last. */
  private void notifyListeners() {
    synchronized (notification) {
      List<EngineEntry> snapshot = new ArrayList<>(engines.values());
      listeners.forEach(l -> l.accept(snapshot));
    }
  }

  private void logChanges(Map<UpstreamId, EngineEntry> current) {
    long revision = table.revision().value();
    current.forEach(
        (id, entry) -> {
          EngineEntry previous = entries.get(id);
          if (previous == null || previous.leaving() != entry.leaving()) {
            LOG.write(
                Event.ENGINE_LISTED,
                id,
                entry.address(),
                entry.leaving(),
                entry.version().getOrElse("none"),
                revision);
          }
        });
    entries.keySet().stream()
        .filter(id -> !current.containsKey(id))
        .forEach(id -> LOG.write(Event.ENGINE_UNLISTED, id, revision));
  }
}
