package org.waxwingcourse.standin.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WatchListener;
import org.waxwingcourse.store.WriteOutcome;

class MemoryStoreTest {
  private final ManualClock clock = ManualClock.at(Instant.EPOCH);
  private final MemoryStore store = MemoryStore.of(clock);
  private final List<String> events = new ArrayList<>();

  private final WatchListener listener =
      new WatchListener() {
        @Override
        public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
          puts.forEach(put -> events.add("put " + put.key()));
          deletes.forEach(key -> events.add("delete " + key));
        }

        @Override
        public void onBroken(StoreFailure failure) {
          events.add("broken");
        }
      };

  @Test
  void lostResponseLeavesTheEntryAndALaterWriteConflicts() {
    store.loseAnswers(1);
    assertThat(createEntry("/a")).isInstanceOf(WriteOutcome.Unknown.class);
    assertThat(createEntry("/a")).isInstanceOf(WriteOutcome.Lost.class);
  }

  @Test
  void entriesAreDeletedWhenTheirLeaseExpiresAndKeptByARenewal() {
    Lease lease = store.grantLease(Duration.ofSeconds(3)).join().get();
    store.watch(KeyRange.ofPrefix("/"), Revision.NONE, listener);
    store.write(Transaction.builder().put("/a", new byte[0], lease.id()).build());
    clock.advance(Duration.ofSeconds(2));
    assertThat(store.renewLease(lease.id()).join().isRight()).isTrue();
    clock.advance(Duration.ofSeconds(2));
    store.tick();
    assertThat(events).containsExactly("put /a");
    clock.advance(Duration.ofSeconds(1));
    store.tick();
    assertThat(events).containsExactly("put /a", "delete /a");
    assertThat(store.renewLease(lease.id()).join().getLeft().kind())
        .isEqualTo(StoreFailure.Kind.LEASE_GONE);
  }

  @Test
  void watchesLagBecomeSilentAndFail() {
    store.setFaults(StoreFaults.NONE.withWatchLag(Duration.ofSeconds(1)));
    store.watch(KeyRange.ofPrefix("/"), Revision.NONE, listener);
    createEntry("/a");
    assertThat(events).isEmpty();
    clock.advance(Duration.ofSeconds(1));
    store.tick();
    assertThat(events).containsExactly("put /a");
    store.setFaults(StoreFaults.NONE.withWatchSilent(true));
    createEntry("/b");
    assertThat(events).containsExactly("put /a");
    store.setFaults(StoreFaults.NONE);
    assertThat(events).containsExactly("put /a", "put /b");
    store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    assertThat(events).containsExactly("put /a", "put /b", "broken");
    assertThat(createEntry("/c")).isInstanceOf(WriteOutcome.NotSent.class);
  }

  @Test
  void rateLimitRejectsCallsAndRefillsWithTheClock() {
    store.setFaults(StoreFaults.NONE.withRates(0, 2));
    assertThat(createEntry("/a")).isInstanceOf(WriteOutcome.Done.class);
    assertThat(createEntry("/b")).isInstanceOf(WriteOutcome.Done.class);
    assertThat(createEntry("/c")).isInstanceOf(WriteOutcome.NotSent.class);
    clock.advance(Duration.ofMillis(500));
    assertThat(createEntry("/c")).isInstanceOf(WriteOutcome.Done.class);
    assertThat(store.counts()).isEqualTo(new CallCounts(0, 4, 0, 0));
  }

  private WriteOutcome createEntry(String key) {
    return store.write(Transaction.builder().absent(key).put(key, "v").build()).join();
  }
}
