package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
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
    table.replaceFromPeer(
        new StoreTable.Content(Revision.of(9), List.of(entry("a", 9)), List.of()));
    table.replaceFromPeer(new StoreTable.Content(Revision.of(5), List.of(), List.of()));
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
    table.replaceFromPeer(
        new StoreTable.Content(Revision.of(5), List.of(entry("a", 4)), List.of()));
    table.replaceFromPeer(
        new StoreTable.Content(Revision.of(8), List.of(entry("a", 4)), List.of()));
    assertThat(table.revision())
        .as("otherwise the peer would send the table repeatedly")
        .isEqualTo(Revision.of(8));
  }

  @Test
  void entryThatIsKeptIsRemovedUnlessItIsWrittenAgain() {
    table.replaceFromRead(new Snapshot(Revision.of(5), List.of(entry("a", 4), entry("b", 5))));
    table.applyChanges(Revision.of(8), List.of(), List.of(), List.of("a", "b"));
    assertThat(table.entries()).hasSize(2);
    assertThat(table.content().lapsed()).containsExactly("a", "b");
    assertThat(table.revision()).as("other hosts are told").isEqualTo(Revision.of(8));
    table.applyChanges(Revision.of(9), List.of(entry("b", 9)), List.of());
    table.removeLapsed();
    assertThat(table.entries()).containsExactly(entry("b", 9));
    assertThat(changes).hasValue(4);
  }

  /** An engine's entry means the same as before; without the news other hosts would remove it. */
  @Test
  void otherHostsAreToldThatAReadFoundALapsedEntryAgain() {
    StoreTable engines = new StoreTable(e -> e.value()[0]);
    engines.replaceFromRead(new Snapshot(Revision.of(5), List.of(valueEntry("a", 4, 1, 1))));
    engines.applyChanges(Revision.of(6), List.of(), List.of(), List.of("a"));
    engines.replaceFromRead(new Snapshot(Revision.of(8), List.of(valueEntry("a", 7, 1, 2))));
    assertThat(engines.revision()).isEqualTo(Revision.of(8));
    assertThat(engines.content().lapsed()).isEmpty();
  }

  /** 29 engines that write every second would else send the table to 95 hosts all the time. */
  @Test
  void writeThatChangesNoMeaningKeepsTheRevision() {
    StoreTable engines = new StoreTable(e -> e.value()[0]);
    AtomicInteger engineChanges = new AtomicInteger();
    engines.addListener(engineChanges::incrementAndGet);
    engines.replaceFromRead(new Snapshot(Revision.of(5), List.of(valueEntry("a", 4, 1, 1))));
    engines.applyChanges(Revision.of(6), List.of(valueEntry("a", 6, 1, 2)), List.of());
    engines.replaceFromRead(new Snapshot(Revision.of(8), List.of(valueEntry("a", 7, 1, 3))));
    assertThat(engines.revision()).isEqualTo(Revision.of(5));
    assertThat(engineChanges).hasValue(1);
    engines.applyChanges(Revision.of(9), List.of(valueEntry("a", 9, 2, 4)), List.of());
    assertThat(engines.revision()).isEqualTo(Revision.of(9));
    engines.applyChanges(Revision.of(10), List.of(), List.of("a"));
    assertThat(engines.revision()).isEqualTo(Revision.of(10));
    assertThat(engineChanges).hasValue(3);
  }

  private static Entry valueEntry(String key, long revision, int meaning, int sequence) {
    byte[] value = {(byte) meaning, (byte) sequence};
    return new Entry(key, value, Revision.of(1), Revision.of(revision), LeaseId.NONE);
  }

  /** The list of hosts went back to the one before if two threads changed the table together. */
  @Test
  void listenerThatCopiesTheTableEndsWithItsLatestContent() throws InterruptedException {
    AtomicReference<List<Entry>> copy = new AtomicReference<>();
    AtomicReference<Thread> other = new AtomicReference<>();
    AtomicBoolean first = new AtomicBoolean(true);
    Runnable change = () -> table.applyChanges(Revision.of(7), List.of(), List.of("a"));
    table.addListener(
        () -> {
          List<Entry> read = table.entries();
          if (first.getAndSet(false)) {
            other.set(FleetFixtures.runBeside(change));
          }
          copy.set(read);
        });
    table.replaceFromRead(new Snapshot(Revision.of(5), List.of(entry("a", 4))));
    other.get().join();
    assertThat(copy.get()).isEmpty();
  }
}
