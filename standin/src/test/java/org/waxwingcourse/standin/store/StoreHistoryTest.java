package org.waxwingcourse.standin.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.standin.platform.PlatformOptions;
import org.waxwingcourse.standin.platform.PlatformStandIn;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.store.etcd.EtcdOptions;
import org.waxwingcourse.store.etcd.EtcdStore;

/** Checks the outcomes of concurrent writers against the state of the store. */
class StoreHistoryTest {
  private static final KeyRange COUNTER = KeyRange.ofKey("/counter");
  private static final int WRITERS = 4;
  private static final int WRITES = 60;
  private static final long SEED = 11;

  /**
   * Writers increment a counter by compare-and-swap over HTTP while some responses are lost after
   * the write took effect.
   */
  @Test
  void completedWritesTakeEffectOnceAndUnknownWritesAtMostOnce() {
    PlatformOptions options = new PlatformOptions(0, Duration.ZERO, 0, 0, Duration.ZERO);
    MonotonicClock clock = MonotonicClock.start();
    try (PlatformStandIn platform = PlatformStandIn.start(options);
        HttpCaller http = HttpCaller.of(clock, 2)) {
      http.start();
      Store remote =
          EtcdStore.of(
              http,
              clock,
              new EtcdOptions(
                  List.of(platform.address()), Duration.ofSeconds(30), Duration.ofSeconds(5)));
      Queue<Long> done = new ConcurrentLinkedQueue<>();
      AtomicInteger unknown = new AtomicInteger();
      List<CompletableFuture<Void>> writers = new ArrayList<>();
      for (int writer = 0; writer < WRITERS; writer++) {
        Random random = new Random(SEED + writer);
        writers.add(
            CompletableFuture.runAsync(
                () -> incrementCounter(remote, platform.store(), random, done, unknown)));
      }
      writers.forEach(CompletableFuture::join);
      int value = counterValue(platform.store().peek(COUNTER).first().orElseThrow());
      assertThat(done).doesNotHaveDuplicates();
      assertThat(value).isBetween(done.size(), done.size() + unknown.get());
      assertThat(unknown.get()).isPositive();
      assertThat(platform.store().counts().writes()).isEqualTo(WRITERS * WRITES);
    }
  }

  private static void incrementCounter(
      Store remote,
      MemoryStore memoryStore,
      Random random,
      Queue<Long> done,
      AtomicInteger unknown) {
    for (int i = 0; i < WRITES; i++) {
      if (random.nextInt(10) == 0) {
        memoryStore.loseAnswers(1);
      }
      var seen = remote.read(COUNTER).join().get().first();
      Revision revision = seen.map(Entry::modified).orElse(Revision.NONE);
      String next = String.valueOf(seen.map(StoreHistoryTest::counterValue).orElse(0) + 1);
      Transaction write =
          Transaction.builder().unchanged("/counter", revision).put("/counter", next).build();
      WriteOutcome outcome = remote.write(write).join();
      if (outcome instanceof WriteOutcome.Done ended) {
        done.add(ended.revision().value());
      } else if (outcome instanceof WriteOutcome.Unknown) {
        unknown.incrementAndGet();
      }
    }
  }

  private static int counterValue(Entry entry) {
    return Integer.parseInt(entry.text());
  }
}
