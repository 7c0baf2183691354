package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
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

/** Tests which coordinator a host that has just started chooses, and when. */
class CoordinatorLinkTest {
  private static final FleetHost OLDER = FleetFixtures.host(HostId.of("older"), 1);
  private static final FleetHost SELF = FleetFixtures.host(HostId.of("self"), 1);
  private static final PeerTransport SILENT = FleetFixtures.droppingPeers();
  private static final Duration TICK = Duration.ofMillis(130);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final StoreView storeView = StoreView.of(document -> Either.left("none"), clocks);
  private final SlotClient slots =
      new SlotClient(SILENT, clock, FleetFixtures.DATA_CENTRE, List::of);
  private Revision ownRegistration = Revision.of(2);
  private final CoordinatorLink link =
      new CoordinatorLink(
          SELF,
          SILENT,
          storeView,
          new EngineDirectory(storeView.engineTable(), e -> Option.none()),
          clocks,
          new StoreFollower(
              MemoryStore.of(InstantSource.system()),
              storeView,
              clocks,
              timer,
              new StoreFollower.Sources(KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix("e/")),
              orders -> {}),
          new Coordinator(SILENT, clock),
          slots,
          new StreamOrigins(),
          () -> ownRegistration);

  @BeforeEach
  void registerBothHosts() {
    storeView
        .hostTable()
        .replaceFromRead(new Snapshot(Revision.of(9), List.of(entry(OLDER, 1), entry(SELF, 2))));
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private static Entry entry(FleetHost host, long created) {
    return new Entry(
        StoreKeys.hostKey(host.id(), host.boot()),
        host.encode(),
        Revision.of(created),
        Revision.of(created),
        LeaseId.NONE);
  }

  @Test
  void startingHostWaitsForAPongBeforeItChooses() {
    link.updateAttachment();
    clock.advance(TICK);
    link.updateAttachment();
    assertThat(slots.coordinator()).isEmpty();
    assertThat(link.isAttached()).isFalse();
    link.onPong(OLDER.id(), pong(1));
    clock.advance(TICK);
    link.updateAttachment();
    assertThat(slots.coordinator()).containsExactly(OLDER.id());
  }

  @Test
  void coordinatorIsChosenBeforeTheNextTickOnceTheOthersHaveAnswered() {
    link.updateAttachment();
    link.attachEarly();
    assertThat(slots.coordinator()).isEmpty();
    link.onPong(OLDER.id(), pong(1));
    link.attachEarly();
    assertThat(slots.coordinator()).isEmpty();
    clock.advance(Duration.ofMillis(21));
    link.attachEarly();
    assertThat(slots.coordinator()).containsExactly(OLDER.id());
  }

  private static Pong pong(long boot) {
    return Pong.newBuilder().setInContact(true).setBoot(boot).build();
  }

  /** All hosts start together: the table still names their previous processes only. */
  @Test
  void restartedHostIsChosenByTheRankThatItsPongTells() {
    ownRegistration = Revision.of(12);
    link.updateAttachment();
    link.onPong(OLDER.id(), pong(2).toBuilder().setRegistered(11).build());
    clock.advance(TICK);
    link.updateAttachment();
    assertThat(slots.coordinator()).containsExactly(OLDER.id());
  }

  @Test
  void hostThatRegisteredEarlierThanARestartedOneChoosesItself() {
    storeView.evidence().recordOwnRead(clocks.now());
    link.updateAttachment();
    link.onPong(OLDER.id(), pong(2).toBuilder().setRegistered(11).build());
    clock.advance(TICK);
    link.updateAttachment();
    assertThat(slots.coordinator()).containsExactly(SELF.id());
  }

  /** Its entry is that of the previous process, whose rank it loses when it registers again. */
  @Test
  void hostThatHasRestartedIsNotChosenByItsOldEntry() {
    link.updateAttachment();
    link.onPong(OLDER.id(), pong(2));
    clock.advance(Duration.ofMillis(460));
    link.updateAttachment();
    assertThat(slots.coordinator()).containsExactly(SELF.id());
  }

  @Test
  void hostThatHasRestartedDoesNotChooseItselfByItsOldEntry() {
    ownRegistration = Revision.NONE;
    FleetHost earlierSelf = FleetFixtures.host(SELF.id(), 0);
    storeView
        .hostTable()
        .replaceFromRead(
            new Snapshot(Revision.of(10), List.of(entry(earlierSelf, 1), entry(OLDER, 2))));
    link.updateAttachment();
    link.onPong(OLDER.id(), pong(1));
    clock.advance(TICK);
    link.updateAttachment();
    assertThat(slots.coordinator()).containsExactly(OLDER.id());
  }

  @Test
  void hostWithoutPongsChoosesItself() {
    link.updateAttachment();
    clock.advance(Duration.ofMillis(460));
    link.updateAttachment();
    assertThat(slots.coordinator()).containsExactly(SELF.id());
  }
}
