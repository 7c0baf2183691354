package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;

/** Load pattern: the store refuses all hosts for seconds, and all of them follow it. */
class StoreFollowerTest {
  /** Five reads of the configuration, and a read of each range after 0, 300, 900 and 2100 ms. */
  private static final int MAX_CALLS_IN_THREE_SECONDS = 5 + 2 * 4;

  private final MemoryStore store = MemoryStore.of(InstantSource.system());
  private final Clocks clocks = new Clocks(InstantSource.system(), InstantSource.system());
  private final StoreView storeView = StoreView.of(document -> Either.left("none"), clocks);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final StoreFollower follower =
      new StoreFollower(
          store,
          storeView,
          clocks,
          timer,
          new StoreFollower.Sources(KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix("e/")),
          orders -> {});

  @BeforeEach
  void putEngine() {
    store.write(Transaction.builder().put("e/1", new byte[] {1}).build());
    store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
  }

  @AfterEach
  void stop() {
    follower.setFollowing(false);
    timer.shutdownNow();
  }

  @Test
  void storeThatRefusesIsAskedLessAndLessOften() throws Exception {
    long before = store.counts().total();
    follower.setFollowing(true);
    TimeUnit.SECONDS.sleep(3);
    assertThat(store.counts().total() - before).isLessThanOrEqualTo(MAX_CALLS_IN_THREE_SECONDS);
  }

  @Test
  void tablesAreReadOnceTheStoreIsBack() throws Exception {
    follower.setFollowing(true);
    TimeUnit.MILLISECONDS.sleep(1000);
    assertThat(storeView.engineTable().entries()).isEmpty();
    store.setFaults(StoreFaults.NONE);
    follower.readConfiguration();
    assertThat(storeView.engineTable().entries()).hasSize(1);
  }

  @Test
  void enginesAreKnownOnceTheyHaveBeenReadAndWhileTheyAreWatched() {
    assertThat(follower.isEngineListCurrent()).isFalse();
    store.setFaults(StoreFaults.NONE);
    follower.setFollowing(true);
    assertThat(follower.isEngineListCurrent()).isTrue();
    store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    assertThat(follower.isEngineListCurrent()).as("with a broken watch").isFalse();
    store.setFaults(StoreFaults.NONE);
    follower.setFollowing(false);
    assertThat(follower.isEngineListCurrent()).as("when no longer followed").isFalse();
  }
}
