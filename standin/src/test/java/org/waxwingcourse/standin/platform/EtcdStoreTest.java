package org.waxwingcourse.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WatchListener;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.store.etcd.EtcdOptions;
import org.waxwingcourse.store.etcd.EtcdStore;
import org.waxwingcourse.store.hosts.HostList;
import org.waxwingcourse.store.hosts.HttpHostList;
import org.waxwingcourse.store.hosts.ListedHost;
import org.waxwingcourse.store.hosts.ListedHostCodec;

class EtcdStoreTest {
  private static final KeyRange ALL = KeyRange.ofPrefix("/");
  private static final long WAIT_SECONDS = 30;

  private final MonotonicClock clock = MonotonicClock.start();
  private final HttpCaller http = HttpCaller.of(clock, 2);
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private PlatformStandIn platform;
  private MemoryStore memoryStore;

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

  @BeforeEach
  void start() {
    platform = PlatformStandIn.start(new PlatformOptions(0, Duration.ZERO, 0, 0, Duration.ZERO));
    memoryStore = platform.store();
    http.start();
  }

  @AfterEach
  void stop() {
    http.stop();
    platform.stop();
  }

  @Test
  void writeReturnsTheCurrentEntriesWhenAComparisonFails() {
    EtcdStore store = createStore(platform.address());
    assertThat(createEntry(store, "/a")).isInstanceOf(WriteOutcome.Done.class);
    WriteOutcome second = createEntry(store, "/a");
    assertThat(second).isInstanceOf(WriteOutcome.Lost.class);
    Entry held = memoryStore.peek(KeyRange.ofKey("/a")).first().get();
    assertThat(((WriteOutcome.Lost) second).current()).containsExactly(held);
    assertThat(store.read(ALL).join().get().entries()).containsExactly(held);
  }

  @Test
  void unsentAndRateLimitedWritesAreNotApplied() throws Exception {
    URI unreachable;
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("127.0.0.1", 0));
      unreachable = URI.create("http://127.0.0.1:" + socket.getLocalPort());
    }
    assertThat(createEntry(createStore(unreachable), "/a"))
        .isInstanceOf(WriteOutcome.NotSent.class);
    assertThat(createEntry(createStore(unreachable, platform.address()), "/a"))
        .as("the next address is tried when nothing was sent")
        .isInstanceOf(WriteOutcome.Done.class);
    memoryStore.setFaults(StoreFaults.NONE.withRates(0, 1));
    EtcdStore store = createStore(platform.address());
    createEntry(store, "/b");
    WriteOutcome limited = createEntry(store, "/c");
    assertThat(limited).isInstanceOf(WriteOutcome.NotSent.class);
    assertThat(((WriteOutcome.NotSent) limited).failure().kind())
        .isEqualTo(StoreFailure.Kind.RATE_LIMITED);
  }

  @Test
  void lostResponseAfterEffectIsUnknownAndNotRetried() {
    EtcdStore store = createStore(platform.address(), platform.address());
    memoryStore.loseAnswers(1);
    assertThat(createEntry(store, "/a")).isInstanceOf(WriteOutcome.Unknown.class);
    assertThat(memoryStore.peek(ALL).first()).isPresent();
    assertThat(memoryStore.counts().writes()).isEqualTo(1);
  }

  @Test
  void writeToASilentStoreIsUnknownAfterTheTimeout() {
    EtcdOptions options =
        new EtcdOptions(List.of(platform.address()), Duration.ofMillis(200), Duration.ofSeconds(5));
    EtcdStore store = EtcdStore.of(http, clock, options);
    memoryStore.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
    assertThat(createEntry(store, "/a")).isInstanceOf(WriteOutcome.Unknown.class);
    assertThat(store.read(ALL).join().getLeft().kind()).isEqualTo(StoreFailure.Kind.UNREACHABLE);
  }

  @Test
  void watchDeliversEachChangeOnceAcrossRenewalsAndReportsAFailure() throws Exception {
    EtcdOptions options =
        new EtcdOptions(List.of(platform.address()), Duration.ofSeconds(5), Duration.ofMillis(300));
    EtcdStore store = EtcdStore.of(http, clock, options);
    createEntry(store, "/0");
    store.watch(ALL, Revision.NONE, listener);
    assertThat(nextEvent()).isEqualTo("put /0");
    for (int i = 1; i <= 3; i++) {
      awaitWatches(memoryStore.counts().watches() + 1);
      createEntry(store, "/" + i);
      assertThat(nextEvent()).isEqualTo("put /" + i);
    }
    memoryStore.write(Transaction.builder().delete("/0").build());
    assertThat(nextEvent()).isEqualTo("delete /0");
    memoryStore.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    assertThat(nextEvent()).isEqualTo("broken");
    assertThat(events).isEmpty();
  }

  @Test
  void silentConnectionsDelayAChangeByOneRenewalAndFailOnlyOneCall() throws Exception {
    EtcdOptions options =
        new EtcdOptions(List.of(platform.address()), Duration.ofSeconds(4), Duration.ofMillis(500));
    EtcdStore store = EtcdStore.of(http, clock, options);
    Stream.generate(() -> store.read(ALL)).limit(4).toList().forEach(CompletableFuture::join);
    store.watch(ALL, Revision.NONE, listener);
    awaitWatches(1);
    platform.silence();
    memoryStore.write(Transaction.builder().put("/a", "v").build());
    assertThat(nextEvent()).isEqualTo("put /a");
    assertThat(store.read(ALL).join().isLeft()).isTrue();
    for (int i = 0; i < 4; i++) {
      assertThat(store.read(ALL).join().isRight()).isTrue();
    }
  }

  @Test
  void leaseDeadlineStartsBeforeTheCallAndAnExpiredLeaseIsNotFound() throws Exception {
    EtcdStore store = createStore(platform.address());
    memoryStore.setFaults(StoreFaults.NONE.withDelay(Duration.ofMillis(300)));
    Instant before = clock.instant();
    Lease lease = store.grantLease(Duration.ofSeconds(3)).join().get();
    assertThat(lease.deadline().at()).isBefore(clock.instant().plusMillis(2_701));
    assertThat(lease.deadline().at()).isAfterOrEqualTo(before.plusSeconds(3));
    memoryStore.setFaults(StoreFaults.NONE);
    byte[] none = new byte[0];
    memoryStore.write(Transaction.builder().put("/l", none, lease.id()).build());
    memoryStore.watch(ALL, Revision.NONE, listener);
    assertThat(nextEvent()).isEqualTo("put /l");
    assertThat(nextEvent()).isEqualTo("delete /l");
    assertThat(store.renewLease(lease.id()).join().getLeft().kind())
        .isEqualTo(StoreFailure.Kind.LEASE_GONE);
    assertThat(store.write(Transaction.builder().put("/m", none, lease.id()).build()).join())
        .isInstanceOf(WriteOutcome.NotSent.class);
  }

  @Test
  void hostListContainsRegisteredHosts() throws Exception {
    ListedHost host =
        new ListedHost(
            HostId.of("a"),
            DataCentreId.of("cairo"),
            URI.create("http://127.0.0.1:1"),
            InetSocketAddress.createUnresolved("127.0.0.1", 2),
            ListedHost.State.LIVE);
    String value = ListedHostCodec.write(host);
    memoryStore.write(Transaction.builder().put(HostList.KEY_PREFIX + "a", value).build());
    HostList list = HttpHostList.of(http, clock, platform.address());
    Instant end = clock.instant().plusSeconds(WAIT_SECONDS);
    while (list.hosts().join().get().isEmpty() && clock.instant().isBefore(end)) {
      Thread.onSpinWait();
    }
    assertThat(list.hosts().join().get()).containsExactly(host);
  }

  private EtcdStore createStore(URI... addresses) {
    return EtcdStore.of(
        http,
        clock,
        new EtcdOptions(List.of(addresses), Duration.ofSeconds(20), Duration.ofSeconds(5)));
  }

  private static WriteOutcome createEntry(EtcdStore store, String key) {
    return store.write(Transaction.builder().absent(key).put(key, "v").build()).join();
  }

  private String nextEvent() throws InterruptedException {
    return events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private void awaitWatches(long count) {
    Instant end = clock.instant().plusSeconds(WAIT_SECONDS);
    while (memoryStore.counts().watches() < count && clock.instant().isBefore(end)) {
      Thread.onSpinWait();
    }
  }
}
