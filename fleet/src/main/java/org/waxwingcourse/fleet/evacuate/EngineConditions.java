package org.waxwingcourse.fleet.evacuate;

import io.vavr.control.Option;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.waxwingcourse.fleet.engine.ColdState;
import org.waxwingcourse.fleet.engine.ColdTerms;
import org.waxwingcourse.fleet.engine.EngineCondition;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineMarker;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Snapshot;

/**
 * Marks the entries of engines that are evacuated or cold. Each host does so by itself, from the
 * operators' orders and the entries that it has: as coordinator it then grants nothing on evacuated
 * engines, and as a host it gives back a slot there that a coordinator has granted which does not
 * know the order yet.
 */
public final class EngineConditions implements EngineMarker {
  private final EvacuatedDataCentres dataCentres;
  private final StoreView storeView;
  private final ColdEngines cold;
  private final Function<DataCentreId, Option<String>> regions;

  /** Creates conditions of engines by the content of the store, where no region is known. */
  public EngineConditions(StoreView storeView, OrderReader orders, InstantSource clock) {
    this(storeView, orders, clock, d -> Option.none());
  }

  /** The same, where {@code regions} returns the region of a data centre if it is known. */
  public EngineConditions(
      StoreView storeView,
      OrderReader orders,
      InstantSource clock,
      Function<DataCentreId, Option<String>> regions) {
    this.regions = regions;
    this.storeView = storeView;
    this.dataCentres = new EvacuatedDataCentres(storeView.evacuationTable(), orders);
    this.cold = new ColdEngines(clock);
  }

  /** Marks the engines of a directory anew after each change of the orders or the configuration. */
  public void follow(EngineDirectory engines) {
    storeView
        .evacuationTable()
        .addListener(
            () -> {
              updateOrders(engines.all());
              engines.refresh();
            });
    storeView.addPlanListener(plan -> engines.refresh());
    engines.addListener(this::retainListed);
  }

  /** Takes the orders from a read of all operators' entries. */
  public void onRead(Snapshot operators) {
    dataCentres.onRead(operators);
  }

  /** Returns the evacuated data centres. */
  public Set<DataCentreId> evacuated() {
    return dataCentres.all();
  }

  private synchronized void updateOrders(Collection<EngineEntry> listed) {
    Set<DataCentreId> revoked = dataCentres.update(d -> enginesIn(d, listed).size());
    for (DataCentreId dataCentre : revoked) {
      for (EngineEntry engine : enginesIn(dataCentre, listed)) {
        terms(engine).forEach(t -> cold.presumeCold(engine, t, dataCentres.revision()));
      }
    }
  }

  private synchronized void retainListed(Collection<EngineEntry> listed) {
    cold.retainAll(listed.stream().map(EngineEntry::id).toList());
  }

  /** Returns whether an engine counts as cold that a later entry may show not to be. */
  public synchronized boolean awaitsEntries() {
    return cold.hasPresumed();
  }

  @Override
  public synchronized void observe(EngineEntry entry, Revision written) {
    cold.observe(entry, written);
  }

  @Override
  public synchronized EngineEntry mark(EngineEntry entry) {
    EngineCondition placed = entry.condition().withRegion(regions.apply(entry.dataCentre()));
    EngineCondition condition =
        terms(entry)
            .map(t -> placed.withCold(new ColdState(t, cold.until(entry.id()))))
            .getOrElse(placed);
    EngineEntry marked = entry.withCondition(condition);
    return dataCentres.all().contains(entry.dataCentre()) ? marked.asEvacuated() : marked;
  }

  private Option<ColdTerms> terms(EngineEntry entry) {
    return storeView.plan().flatMap(p -> p.coldTerms(entry.service()));
  }

  private static List<EngineEntry> enginesIn(
      DataCentreId dataCentre, Collection<EngineEntry> listed) {
    return listed.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList();
  }
}
