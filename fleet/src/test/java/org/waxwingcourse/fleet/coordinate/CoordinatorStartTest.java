package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;

/** Tests requests that reach a coordinator before it has read the engines. */
class CoordinatorStartTest {
  private static final HostId HOST = HostId.of("host");
  private static final EngineEntry ENGINE =
      new EngineEntry(
          UpstreamId.of("engine"),
          ServiceName.of("s"),
          new InetSocketAddress("127.0.0.1", 4711),
          DataCentreId.of("a"),
          8,
          false,
          77);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final List<FleetMessage> sent = new ArrayList<>();
  private final Coordinator coordinator =
      new Coordinator(FleetFixtures.recordingPeers((to, m) -> sent.add(m)), clock);

  @BeforeEach
  void serveWholeFleet() {
    coordinator.setFleetShare(1);
  }

  private void ask(long number, Duration patience) {
    coordinator.onAsk(HOST, askOf(number, patience));
  }

  private static SlotAsk askOf(long number, Duration patience) {
    return SlotAsk.newBuilder()
        .setNumber(number)
        .setRequest("r" + number)
        .setService("s")
        .setDataCentre("a")
        .setStartWithinNanos(patience.toNanos())
        .setGiveUpWithinNanos(patience.toNanos())
        .build();
  }

  private void pass(Duration span) {
    for (long ms = 0; ms < span.toMillis(); ms += 5) {
      clock.advance(Duration.ofMillis(5));
      coordinator.processQueues();
    }
  }

  @Test
  void requestWaitsUntilTheEnginesAreKnown() {
    ask(1, Duration.ofMillis(250));
    pass(Duration.ofMillis(40));
    assertThat(sent).isEmpty();
    coordinator.setEngines(List.of(ENGINE));
    pass(Duration.ofMillis(15));
    assertThat(sent.get(0).getGrant().getEngine()).isEqualTo("engine");
  }

  @Test
  void requestsAreRefusedAtOnceIfThereAreNoEngines() {
    ask(1, Duration.ofSeconds(5));
    pass(Duration.ofMillis(225));
    assertThat(sent).hasSize(1).allMatch(FleetMessage::hasRefusal);
    ask(2, Duration.ofSeconds(5));
    assertThat(sent).hasSize(2).allMatch(FleetMessage::hasRefusal);
  }

  /** Returns a coordinator that runs an action as it next reads the clock. */
  private Coordinator interrupted(AtomicReference<Runnable> action) {
    InstantSource interrupted =
        () -> {
          action.getAndSet(() -> {}).run();
          return clock.instant();
        };
    return new Coordinator(FleetFixtures.recordingPeers((to, m) -> sent.add(m)), interrupted);
  }

  /** Hosts that attach at the same time are read by two threads. */
  @Test
  void laterOfTwoSharesThatAreSetAtTheSameTimeHolds() throws InterruptedException {
    AtomicReference<Runnable> beside = new AtomicReference<>(() -> {});
    Coordinator starting = interrupted(beside);
    starting.setEngines(List.of(ENGINE));
    AtomicReference<Thread> other = new AtomicReference<>();
    beside.set(() -> other.set(FleetFixtures.runBeside(() -> starting.setFleetShare(1))));
    starting.setFleetShare(0.5);
    other.get().join();
    starting.setFleetShare(1);
    for (int i = 1; i <= 8; i++) {
      starting.onAsk(HOST, askOf(i, Duration.ofSeconds(5)));
    }
    assertThat(sent).filteredOn(FleetMessage::hasGrant).hasSize(8);
  }

  /** A service's first request comes while hosts attach. */
  @Test
  void shareThatIsSetWhileAServiceIsMetForTheFirstTimeHolds() throws InterruptedException {
    AtomicReference<Runnable> beside = new AtomicReference<>(() -> {});
    Coordinator starting = interrupted(beside);
    starting.setFleetShare(0.5);
    AtomicReference<Thread> other = new AtomicReference<>();
    beside.set(() -> other.set(FleetFixtures.runBeside(() -> starting.setFleetShare(1))));
    starting.load(ENGINE.service());
    other.get().join();
    starting.setEngines(List.of(ENGINE));
    starting.setFleetShare(1);
    for (int i = 1; i <= 8; i++) {
      starting.onAsk(HOST, askOf(i, Duration.ofSeconds(5)));
    }
    assertThat(sent).filteredOn(FleetMessage::hasGrant).hasSize(8);
  }
}
