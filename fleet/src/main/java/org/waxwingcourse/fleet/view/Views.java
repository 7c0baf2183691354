package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.PlanReader;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.Revision;

/**
 * All that a host knows of the store: the configuration, the engines, the hosts, and the evidence
 * that the configuration is the newest. A configuration of a lower revision is never applied.
 */
public final class Views {
  private static final EventLog LOG = EventLog.of(Views.class);

  private final PlanReader planReader;
  private final Evidence evidence;
  private final EntryTable engines = new EntryTable();
  private final EntryTable hosts = new EntryTable();
  private final AtomicReference<FleetHosts> fleet = new AtomicReference<>(FleetHosts.of(List.of()));
  private final List<Consumer<Plan>> planListeners = new CopyOnWriteArrayList<>();
  private volatile Option<Document> document = Option.none();
  private volatile Option<Plan> plan = Option.none();

  /**
   * A configuration as stored.
   *
   * @param revision the revision that wrote it
   * @param bytes the operators' bytes
   */
  public record Document(Revision revision, byte[] bytes) {}

  private Views(PlanReader planReader, Clocks clocks) {
    this.planReader = planReader;
    this.evidence = new Evidence(clocks);
    hosts.onChange(() -> fleet.set(FleetHosts.read(hosts)));
  }

  /** Returns views that know nothing yet. */
  public static Views of(PlanReader planReader, Clocks clocks) {
    return new Views(planReader, clocks);
  }

  /** Returns the evidence that the configuration is current. */
  public Evidence evidence() {
    return evidence;
  }

  /** Returns the entries of engines. */
  public EntryTable engines() {
    return engines;
  }

  /** Returns the entries of hosts. */
  public EntryTable hosts() {
    return hosts;
  }

  /** Returns the hosts of the fleet. */
  public FleetHosts fleet() {
    return fleet.get();
  }

  /** Returns the configuration in force on this host, none before the first. */
  public Option<Plan> plan() {
    return plan;
  }

  /** Returns the stored form of the configuration in force. */
  public Option<Document> document() {
    return document;
  }

  /** Returns the revision of the configuration in force. */
  public Revision planRevision() {
    return document.map(Document::revision).getOrElse(Revision.NONE);
  }

  /** Names a listener for each configuration that comes into force. */
  public void onPlan(Consumer<Plan> listener) {
    planListeners.add(listener);
  }

  /** Takes a configuration into force unless one at least as new is. */
  public synchronized void offer(Document candidate) {
    if (!candidate.revision().isAfter(planRevision())) {
      return;
    }
    Either<String, Plan> read = planReader.read(candidate.bytes());
    if (read.isLeft()) {
      LOG.write(Event.CONFIGURATION_UNREADABLE, candidate.revision().value(), read.getLeft());
      return;
    }
    Plan next = read.get();
    plan = Option.some(next);
    document = Option.some(candidate);
    LOG.write(Event.PLAN_IN_FORCE, next.version(), candidate.revision().value());
    planListeners.forEach(l -> l.accept(next));
  }
}
