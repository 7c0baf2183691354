package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;

class EntryTableTest {
  private final EntryTable table = new EntryTable();
  private final AtomicInteger changes = new AtomicInteger();

  EntryTableTest() {
    table.onChange(changes::incrementAndGet);
  }

  private static Entry entry(String key, long revision) {
    return new Entry(key, new byte[] {1}, Revision.of(1), Revision.of(revision), LeaseId.NONE);
  }

  @Test
  void anOlderCopyChangesNothing() {
    table.copy(Revision.of(9), List.of(entry("a", 9)));
    table.copy(Revision.of(5), List.of());
    table.apply(Revision.of(7), List.of(), List.of("a"));
    assertThat(table.entries()).hasSize(1);
    assertThat(table.revision()).isEqualTo(Revision.of(9));
    assertThat(changes).hasValue(1);
  }

  @Test
  void aReadThatFindsNothingNewDoesNotRenewTheRevision() {
    table.replace(new Snapshot(Revision.of(5), List.of(entry("a", 4))));
    table.replace(new Snapshot(Revision.of(8), List.of(entry("a", 4))));
    assertThat(table.revision())
        .as("or every host would be sent the table again")
        .isEqualTo(Revision.of(5));
    assertThat(changes).hasValue(1);
  }

  @Test
  void aCopyOfEqualContentTakesItsRevision() {
    table.copy(Revision.of(5), List.of(entry("a", 4)));
    table.copy(Revision.of(8), List.of(entry("a", 4)));
    assertThat(table.revision())
        .as("or it would be sent again and again")
        .isEqualTo(Revision.of(8));
  }
}
