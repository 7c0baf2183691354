package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.wire.fleet.Pong;
import org.waxwingcourse.wire.fleet.SlotAsk;

/** A host without requests must neither wake up for them nor send more the larger its fleet is. */
class IdleHostTest {
  private static final Duration TICK = Duration.ofMillis(130);
  private static final Duration CHECK = Duration.ofMillis(20);
  private static final int SECONDS = 10;

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final ManualTimer timer = new ManualTimer(clock);
  private final AtomicInteger steps = new AtomicInteger();
  private final AtomicBoolean work = new AtomicBoolean();
  private final QueueTimer queueTimer =
      new QueueTimer(timer, CHECK, steps::incrementAndGet, work::get);

  @Test
  void timerRunsWhileThereIsWorkOnly() {
    timer.advance(Duration.ofSeconds(1));
    assertThat(steps).hasValue(0);
    work.set(true);
    queueTimer.wake();
    queueTimer.wake();
    timer.advance(Duration.ofSeconds(1));
    assertThat(steps).hasValue(50);
    work.set(false);
    timer.advance(Duration.ofSeconds(1));
    assertThat(steps).hasValue(51);
    work.set(true);
    queueTimer.wake();
    timer.advance(CHECK);
    assertThat(steps).hasValue(52);
  }

  /** A step that fails must not leave the timer at rest for good. */
  @Test
  void timerGoesOnAfterAFailure() {
    QueueTimer failing =
        new QueueTimer(
            timer,
            CHECK,
            () -> {
              throw new IllegalStateException();
            },
            () -> true);
    failing.wake();
    try {
      timer.advance(CHECK);
    } catch (IllegalStateException expected) {
      assertThat(failing.isRunning()).isTrue();
    }
  }

  /** Waiting requests need checks at the short interval, though no further message comes. */
  @Test
  void coordinatorHasWorkWhileARequestWaitsAndForAWhileAfterAMessage() {
    Coordinator coordinator = new Coordinator(FleetFixtures.droppingPeers(), clock);
    AtomicInteger messages = new AtomicInteger();
    coordinator.setMessageListener(messages::incrementAndGet);
    assertThat(coordinator.hasWork()).isFalse();
    coordinator.onAsk(
        HostId.of("h"),
        SlotAsk.newBuilder()
            .setNumber(1)
            .setRequest("r")
            .setService("s")
            .setBatch(true)
            .setDataCentre("a")
            .setDueWithinNanos(Duration.ofSeconds(30).toNanos())
            .setStartWithinNanos(Duration.ofSeconds(30).toNanos())
            .setGiveUpWithinNanos(Duration.ofSeconds(30).toNanos())
            .build());
    assertThat(messages).hasValue(1);
    assertThat(coordinator.hasWork()).isTrue();
    clock.advance(Duration.ofSeconds(40));
    coordinator.processQueues();
    coordinator.processQueues();
    assertThat(coordinator.hasWork()).isFalse();
  }

  /** The most messages that a host of low rank may send in an idle second, itself and in reply. */
  @ParameterizedTest
  @CsvSource({"7, 24", "60, 7", "350, 3"})
  void idleHostSendsFewMessagesInAFleetOfAnySize(int hosts, int maxPerSecond) {
    List<HostId> sent = new ArrayList<>();
    PeerTransport peers = FleetFixtures.recordingPeers((to, message) -> sent.add(to));
    Clocks clocks = new Clocks(clock, clock);
    StoreView view = StoreView.of(document -> Either.left("none"), clocks);
    List<FleetHost> fleet =
        IntStream.range(0, hosts).mapToObj(i -> FleetFixtures.host(HostId.of("h" + i), 1)).toList();
    List<Entry> entries =
        IntStream.range(0, hosts).mapToObj(i -> entry(fleet.get(i), i + 1)).toList();
    view.hostTable().replaceFromRead(new Snapshot(Revision.of(hosts + 1), entries));
    CoordinatorLink link =
        new CoordinatorLink(
            fleet.get(hosts - 1),
            peers,
            view,
            new EngineDirectory(view.engineTable(), e -> Option.none()),
            clocks,
            new StoreFollower(
                MemoryStore.of(InstantSource.system()),
                view,
                clocks,
                timer,
                new StoreFollower.Sources(
                    KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix("e/")),
                orders -> {}),
            new Coordinator(peers, clock),
            new SlotClient(peers, clock, FleetFixtures.DATA_CENTRE, List::of),
            new StreamOrigins(),
            () -> Revision.of(hosts));
    runAndAnswer(link, sent, Duration.ofSeconds(4));
    assertThat(runAndAnswer(link, sent, Duration.ofSeconds(SECONDS)) / SECONDS)
        .isPositive()
        .isLessThanOrEqualTo(maxPerSecond);
  }

  /** Answers each message by a pong at once; returns the number of messages. */
  private double runAndAnswer(CoordinatorLink link, List<HostId> sent, Duration span) {
    int count = 0;
    for (Instant end = clock.instant().plus(span); clock.instant().isBefore(end); ) {
      link.updateAttachment();
      count += sent.size();
      List<HostId> receivers = List.copyOf(sent);
      sent.clear();
      receivers.forEach(
          h -> link.onPong(h, Pong.newBuilder().setInContact(true).setBoot(1).build()));
      clock.advance(TICK);
    }
    return count;
  }

  private static Entry entry(FleetHost host, long created) {
    return new Entry(
        StoreKeys.hostKey(host.id(), host.boot()),
        host.encode(),
        Revision.of(created),
        Revision.of(created),
        LeaseId.NONE);
  }
}
