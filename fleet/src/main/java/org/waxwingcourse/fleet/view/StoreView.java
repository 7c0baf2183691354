package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.waxwingcourse.fleet.engine.EngineCondition;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineEntryReader;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.PlanReader;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;

/**
 * The content of the store as this host knows it: the configuration, the engines, the hosts, the
 * orders to evacuate data centres, and the evidence that the configuration is the newest. A
 * configuration of a lower revision is never applied.
 */
public final class StoreView {
  private static final EventLog LOG = EventLog.of(StoreView.class);

  private final PlanReader planReader;
  private final StoreContact contact;
  private final FreshnessEvidence evidence;
  private final StoreTable engines;
  private final StoreTable hosts = new StoreTable();
  private final StoreTable evacuations = new StoreTable();
  private final AtomicReference<FleetHosts> fleetHosts =
      new AtomicReference<>(FleetHosts.of(List.of()));
  private final List<Consumer<Plan>> planListeners = new CopyOnWriteArrayList<>();
  private volatile Option<ConfigurationDocument> document = Option.none();
  private volatile Option<Plan> plan = Option.none();

  /**
   * A configuration as stored.
   *
   * @param revision the revision that wrote it
   * @param bytes the document as written by the operators
   */
  public record ConfigurationDocument(Revision revision, byte[] bytes) {}

  private StoreView(PlanReader planReader, Clocks clocks, Option<EngineEntryReader> engineReader) {
    this.planReader = planReader;
    this.engines =
        engineReader
            .map(EngineEntryReader::ignoringFailures)
            .map(r -> new StoreTable(e -> meaning(r, e)))
            .getOrElse(StoreTable::new);
    this.contact = new StoreContact(clocks);
    this.evidence = new FreshnessEvidence(clocks, contact::recordSign);
    hosts.addListener(() -> fleetHosts.set(FleetHosts.fromTable(hosts)));
  }

  /** Returns an empty view in which each write of an engine's entry is a change. */
  public static StoreView of(PlanReader planReader, Clocks clocks) {
    return new StoreView(planReader, clocks, Option.none());
  }

  /** Returns an empty view in which an engine's entry changes if {@code engineReader} says so. */
  public static StoreView of(PlanReader planReader, Clocks clocks, EngineEntryReader engineReader) {
    return new StoreView(planReader, clocks, Option.some(engineReader));
  }

  /** Returns what an engine's entry means; how cold it is counts only where cold engines differ. */
  private Option<EngineEntry> meaning(EngineEntryReader reader, Entry entry) {
    return reader
        .read(entry)
        .map(
            e ->
                plan.exists(p -> p.coldTerms(e.service()).isDefined())
                    ? e
                    : e.withCondition(EngineCondition.NORMAL));
  }

  /** Returns the evidence that the configuration is current. */
  public FreshnessEvidence evidence() {
    return evidence;
  }

  /** Returns what is known of outages of the store. */
  public StoreContact contact() {
    return contact;
  }

  /**
   * Removes the entries that were kept while the store recovered and have not been written again.
   * Called at a fixed interval.
   */
  public void removeLapsed() {
    if (!contact.isRecovering()) {
      engines.removeLapsed();
      hosts.removeLapsed();
    }
  }

  /** Returns the entries of engines. */
  public StoreTable engineTable() {
    return engines;
  }

  /** Returns the entries of hosts. */
  public StoreTable hostTable() {
    return hosts;
  }

  /** Returns the operators' orders to evacuate data centres. */
  public StoreTable evacuationTable() {
    return evacuations;
  }

  /** Returns the hosts of the fleet. */
  public FleetHosts fleetHosts() {
    return fleetHosts.get();
  }

  /** Returns the configuration in force on this host, none before the first one. */
  public Option<Plan> plan() {
    return plan;
  }

  /** Returns the configuration in force as it is stored. */
  public Option<ConfigurationDocument> document() {
    return document;
  }

  /**
   * Returns the revision of the configuration in force, {@link Revision#NONE} before the first one.
   */
  public Revision planRevision() {
    return document.map(ConfigurationDocument::revision).getOrElse(Revision.NONE);
  }

  /** Adds a listener that is called with each configuration that comes into force. */
  public void addPlanListener(Consumer<Plan> listener) {
    planListeners.add(listener);
  }

  /** Brings a configuration into force if it can be read and is newer than the one in force. */
  public synchronized void applyIfNewer(ConfigurationDocument candidate) {
    if (!candidate.revision().isAfter(planRevision())) {
      return;
    }
    Either<String, Plan> parsed = planReader.read(candidate.bytes());
    if (parsed.isLeft()) {
      LOG.write(Event.CONFIGURATION_UNREADABLE, candidate.revision().value(), parsed.getLeft());
      return;
    }
    Plan newPlan = parsed.get();
    plan = Option.some(newPlan);
    document = Option.some(candidate);
    LOG.write(Event.PLAN_IN_FORCE, newPlan.version(), candidate.revision().value());
    planListeners.forEach(l -> l.accept(newPlan));
  }
}
