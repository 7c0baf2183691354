package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/** Tests the entry by which a host is known to the fleet. */
class HostEntryRegistrationTest {
  private static final HostId SELF = HostId.of("self");

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final MemoryStore store = MemoryStore.of(clock);
  private final CompletableFuture<Void> answersMayArrive = new CompletableFuture<>();

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  /** Returns the store, with the answer to each write of this host's entry held back. */
  private Store holdingAnswers() {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (self, method, arguments) -> {
              Object answer = method.invoke(store, arguments);
              return method.getName().equals("write") && !entries().isEmpty()
                  ? answersMayArrive.thenCompose(v -> (CompletableFuture<?>) answer)
                  : answer;
            });
  }

  private List<Entry> entries() {
    return store.readDirectly(KeyRange.ofPrefix(StoreKeys.HOSTS_PREFIX)).entries();
  }

  /** Otherwise callers are sent to the host until it has ended. */
  @Test
  void hostToldToStopWhileItRegistersIsListedAsLeaving() throws Exception {
    HostEntryRegistration registration =
        new HostEntryRegistration(
            FleetFixtures.host(SELF, 1),
            holdingAnswers(),
            StoreView.of(document -> Either.left("none"), clocks),
            clocks,
            timer,
            new SecureRandom());
    registration.start().get(5, TimeUnit.SECONDS);
    while (entries().isEmpty()) {
      Thread.sleep(5);
    }
    registration.announceLeaving();
    answersMayArrive.complete(null);
    timer.submit(() -> {}).get(5, TimeUnit.SECONDS);
    assertThat(FleetHost.parse(entries().get(0)).get().leaving()).isTrue();
  }

  /** Returns the store, with the answer to the first write of this host's entry lost. */
  private Store losingFirstAnswer() {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (self, method, arguments) -> {
              boolean hadEntry = !entries().isEmpty();
              Object answer = method.invoke(store, arguments);
              return method.getName().equals("write") && !hadEntry && !entries().isEmpty()
                  ? CompletableFuture.completedFuture(new WriteOutcome.Unknown("answer lost"))
                  : answer;
            });
  }

  /** Two hosts each took the other for the coordinator, for as long as they ran. */
  @Test
  void hostWhoseFirstWriteWasNotAnsweredRanksItselfAsTheOthersDo() throws Exception {
    HostEntryRegistration registration =
        new HostEntryRegistration(
            FleetFixtures.host(SELF, 1),
            losingFirstAnswer(),
            StoreView.of(document -> Either.left("none"), clocks),
            clocks,
            timer,
            new SecureRandom());
    registration.start().get(5, TimeUnit.SECONDS);
    while (registration.registeredAt().equals(Revision.NONE)) {
      Thread.sleep(5);
    }
    assertThat(FleetHost.parse(entries().get(0)).get().registeredAt())
        .isEqualTo(registration.registeredAt());
  }

  /** Returns the store, which executes the first write of this host's entry only when asked to. */
  private Store executingFirstWriteLate(AtomicReference<Transaction> late) {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (self, method, arguments) -> {
              boolean isEntryWrite =
                  method.getName().equals("write")
                      && ((Transaction) arguments[0])
                          .changes().stream()
                              .anyMatch(c -> c.key().startsWith(StoreKeys.HOSTS_PREFIX));
              return isEntryWrite && late.compareAndSet(null, (Transaction) arguments[0])
                  ? CompletableFuture.completedFuture(new WriteOutcome.Unknown("answer lost"))
                  : method.invoke(store, arguments);
            });
  }

  /** The entry went with the lease of the late write, and the host was listed nowhere. */
  @Test
  void lateExecutionOfAnUnansweredWriteLeavesTheEntryUnderItsLease() throws Exception {
    AtomicReference<Transaction> late = new AtomicReference<>();
    HostEntryRegistration registration =
        new HostEntryRegistration(
            FleetFixtures.host(SELF, 1),
            executingFirstWriteLate(late),
            StoreView.of(document -> Either.left("none"), clocks),
            clocks,
            timer,
            new SecureRandom());
    registration.start().get(5, TimeUnit.SECONDS);
    while (registration.registeredAt().equals(Revision.NONE)) {
      Thread.sleep(5);
    }
    Entry registered = entries().get(0);
    store.write(late.get()).get(5, TimeUnit.SECONDS);
    assertThat(entries()).containsExactly(registered);
  }
}
