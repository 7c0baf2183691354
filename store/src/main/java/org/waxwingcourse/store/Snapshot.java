package org.waxwingcourse.store;

import java.util.List;
import java.util.Optional;
import org.waxwingcourse.model.id.Revision;

/**
 * The result of a read.
 *
 * @param revision the store's revision at the time of the read
 * @param entries the entries in key order
 */
public record Snapshot(Revision revision, List<Entry> entries) {
  /** Copies the entries. */
  public Snapshot {
    entries = List.copyOf(entries);
  }

  /** Returns the first entry, which is the only one if the range is a single key. */
  public Optional<Entry> firstEntry() {
    return entries.stream().findFirst();
  }
}
