package org.waxwingcourse.fleet.evacuate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.store.Entry;

/** Reads the orders to evacuate a data centre's engines, as operators write them. */
@FunctionalInterface
public interface OrderReader {
  /**
   * Returns the data centre that an entry orders to evacuate, or why the order cannot be read; none
   * if the entry is no such order.
   */
  Option<Either<String, DataCentreId>> read(Entry entry);
}
