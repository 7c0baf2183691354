package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;

class StoreTableTest {
  private final StoreTable table = new StoreTable();
  private final AtomicInteger changes = new AtomicInteger();

  StoreTableTest() {
    table.addListener(changes::incrementAndGet);
  }

  private static Entry entry(String key, long revision) {
    return new Entry(key, new byte[] {1}, Revision.of(1), Revision.of(revision), LeaseId.NONE);
  }

  @Test
  void olderContentIsIgnored() {
    table.replaceFromPeer(Revision.of(9), List.of(entry("a", 9)));
    table.replaceFromPeer(Revision.of(5), List.of());
    table.applyChanges(Revision.of(7), List.of(), List.of("a"));
    assertThat(table.entries()).hasSize(1);
    assertThat(table.revision()).isEqualTo(Revision.of(9));
    assertThat(changes).hasValue(1);
  }

  @Test
  void readWithoutChangesKeepsTheRevision() {
    table.replaceFromRead(new Snapshot(Revision.of(5), List.of(entry("a", 4))));
    table.replaceFromRead(new Snapshot(Revision.of(8), List.of(entry("a", 4))));
    assertThat(table.revision())
        .as("otherwise the table would be sent to every host again")
        .isEqualTo(Revision.of(5));
    assertThat(changes).hasValue(1);
  }

  @Test
  void peerCopyOfEqualContentAdvancesTheRevision() {
    table.replaceFromPeer(Revision.of(5), List.of(entry("a", 4)));
    table.replaceFromPeer(Revision.of(8), List.of(entry("a", 4)));
    assertThat(table.revision())
        .as("otherwise the peer would send the table repeatedly")
        .isEqualTo(Revision.of(8));
  }
}
