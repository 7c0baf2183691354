package org.waxwingcourse.fleet.evacuate;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.waxwingcourse.fleet.view.StoreTable;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/**
 * The data centres whose engines operators have ordered to evacuate: those that an order in the
 * table names. The table comes from the store or from another host.
 */
public final class EvacuatedDataCentres {
  private static final EventLog LOG = EventLog.of(EvacuatedDataCentres.class);

  private final StoreTable table;
  private final OrderReader reader;
  private final Set<String> unreadable = new HashSet<>();
  private volatile Set<DataCentreId> evacuated = Set.of();

  /** Creates the set of data centres that the orders in a table name; none at first. */
  public EvacuatedDataCentres(StoreTable table, OrderReader reader) {
    this.table = table;
    this.reader = reader;
  }

  /** Returns the evacuated data centres. */
  public Set<DataCentreId> all() {
    return evacuated;
  }

  /** Returns the revision at which the orders were known. */
  public Revision revision() {
    return table.revision();
  }

  /** Takes from a read of all operators' entries those that order an evacuation. */
  public void onRead(Snapshot operators) {
    List<Entry> orders =
        operators.entries().stream().filter(e -> reader.read(e).isDefined()).toList();
    table.advanceByRead(new Snapshot(operators.revision(), orders));
  }

  /**
   * Derives the set from the table again.
   *
   * @param countEngines returns how many engines of a data centre are listed, for logs
   * @return the data centres whose evacuation is no longer ordered
   */
  synchronized Set<DataCentreId> update(ToLongFunction<DataCentreId> countEngines) {
    Set<DataCentreId> ordered = new TreeSet<>();
    for (Entry entry : table.entries()) {
      for (Either<String, DataCentreId> order : reader.read(entry)) {
        order.forEach(ordered::add);
        if (order.isLeft() && unreadable.add(entry.key())) {
          LOG.write(Event.EVACUATION_UNREADABLE, entry.key(), order.getLeft());
        }
      }
    }
    Set<DataCentreId> revoked = new TreeSet<>(evacuated);
    revoked.removeAll(ordered);
    long revision = table.revision().value();
    ordered.stream()
        .filter(d -> !evacuated.contains(d))
        .forEach(
            d -> LOG.write(Event.EVACUATION_ORDERED, d, countEngines.applyAsLong(d), revision));
    revoked.forEach(
        d -> LOG.write(Event.EVACUATION_REVOKED, d, countEngines.applyAsLong(d), revision));
    evacuated = Set.copyOf(ordered);
    return revoked;
  }
}
