package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.quarantine.PromptQuarantine;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.ClockReading;
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
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.wire.fleet.CoordinatorLost;
import org.waxwingcourse.wire.fleet.FleetMessage;

/**
 * Simulates fleets of several sizes whose coordinator is lost, with a simulated clock and network.
 */
class CoordinatorLossTest {
  private static final Duration TICK = Duration.ofMillis(130);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration MAX_TAKE_OVER = Duration.ofSeconds(1);

  /** The coordinator and those that may take its place. */
  private static final int MAX_FOLLOWERS = 3;

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final Queue<Message> network = new ArrayDeque<>();
  private final Map<HostId, Member> members = new HashMap<>();
  private final List<HostId> ids = new ArrayList<>();
  private final Set<HostId> silent = new HashSet<>();
  private final Set<HostId> cutFromStore = new HashSet<>();
  private final Map<HostId, Integer> receivedBy = new HashMap<>();

  private final Set<HostId> readingOnce = new HashSet<>();
  private final Map<HostId, Duration> answerDelays = new HashMap<>();
  private final Map<HostId, Set<HostId>> pinged = new HashMap<>();
  private final Map<HostId, Integer> tablesReceivedBy = new HashMap<>();

  private record Message(HostId from, HostId to, FleetMessage content, Instant dueAt) {}

  private void send(HostId from, HostId to, FleetMessage content) {
    if (content.hasPing()) {
      pinged.computeIfAbsent(from, h -> new HashSet<>()).add(to);
    }
    Duration delay = answerDelays.getOrDefault(from, Duration.ZERO);
    network.add(new Message(from, to, content, clock.instant().plus(delay)));
  }

  /** The parts of one host that choose a coordinator. */
  private final class Member {
    private final StoreView storeView = StoreView.of(document -> Either.left("none"), clocks);
    private final SlotClient slots;
    private final CoordinatorLink link;
    private final FleetMessageRouter router;
    private final StoreFollower follower;
    private final Coordinator coordinator;

    Member(FleetHost self, Revision registered) {
      PeerTransport peers = FleetFixtures.recordingPeers((to, m) -> send(self.id(), to, m));
      slots = new SlotClient(peers, clock, FleetFixtures.DATA_CENTRE, List::of);
      coordinator = new Coordinator(peers, clock);
      StoreFollower.Sources sources =
          new StoreFollower.Sources(KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix("e/"));
      MemoryStore store = MemoryStore.of(InstantSource.system());
      store.setFaults(store.faults().withOutage(StoreFaults.Outage.SILENT));
      follower = new StoreFollower(store, storeView, clocks, timer, sources, orders -> {});
      link =
          new CoordinatorLink(
              self,
              peers,
              storeView,
              new EngineDirectory(storeView.engineTable(), e -> Option.none()),
              clocks,
              follower,
              coordinator,
              slots,
              new StreamOrigins(),
              () -> registered);
      router =
          new FleetMessageRouter(
              link, coordinator, slots, (from, message) -> {}, (from, message) -> {});
    }
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void createFleet(int size) {
    List<Entry> entries = new ArrayList<>();
    List<FleetHost> hosts = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      FleetHost host = FleetFixtures.callerHost(HostId.of("host-%03d".formatted(i)), 1);
      hosts.add(host);
      ids.add(host.id());
      Revision created = Revision.of(i + 1);
      String key = StoreKeys.hostKey(host.id(), host.boot());
      entries.add(new Entry(key, host.encode(), created, created, LeaseId.NONE));
    }
    for (FleetHost host : hosts) {
      Member member = new Member(host, Revision.of(ids.indexOf(host.id()) + 1));
      member.storeView.hostTable().replaceFromRead(new Snapshot(Revision.of(size + 1), entries));
      members.put(host.id(), member);
    }
  }

  /** Runs the fleet; each host ticks at a phase of its own, and messages take one step. */
  private void run(Duration span) {
    Instant end = clock.instant().plus(span);
    while (clock.instant().isBefore(end)) {
      clock.advance(STEP);
      long step = clock.instant().toEpochMilli() / STEP.toMillis();
      for (int i = 0; i < ids.size(); i++) {
        if ((step + i) % (TICK.toMillis() / STEP.toMillis()) == 0 && !silent.contains(ids.get(i))) {
          tick(ids.get(i));
        }
      }
      deliver();
    }
  }

  private void tick(HostId id) {
    Member member = members.get(id);
    if (!cutFromStore.contains(id) && !readingOnce.contains(id)) {
      ClockReading now = clocks.now();
      member.storeView.evidence().recordOwnRead(now);
    }
    member.link.updateAttachment();
  }

  private void deliver() {
    for (int n = network.size(); n > 0; n--) {
      Message message = network.poll();
      if (message.dueAt.isAfter(clock.instant())) {
        network.add(message);
      } else if (!silent.contains(message.to) && !silent.contains(message.from)) {
        receivedBy.merge(message.to, 1, Integer::sum);
        if (message.content.getPong().hasEngines()) {
          tablesReceivedBy.merge(message.to, 1, Integer::sum);
        }
        members.get(message.to).router.onMessage(message.from, message.content.toByteArray());
      }
    }
  }

  private long attachedTo(HostId coordinator) {
    return members.entrySet().stream()
        .filter(e -> !silent.contains(e.getKey()))
        .filter(e -> e.getValue().slots.coordinator().contains(coordinator))
        .count();
  }

  @ParameterizedTest
  @ValueSource(ints = {9, 95, 351})
  void lostCoordinatorIsReplacedWithinASecondInAFleetOfAnySize(int size) {
    createFleet(size);
    run(Duration.ofSeconds(8));
    assertThat(attachedTo(ids.get(0))).isEqualTo(size);
    silent.add(ids.get(0));
    run(MAX_TAKE_OVER);
    assertThat(attachedTo(ids.get(1))).isEqualTo(size - 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {9, 95})
  void quarantineOutlivesTheCoordinator(int size) {
    createFleet(size);
    run(Duration.ofSeconds(8));
    members.get(ids.get(0)).coordinator.quarantine().add(Set.of(7L), clock.instant());
    run(Duration.ofSeconds(1));
    assertThat(members.values())
        .allMatch(m -> m.coordinator.quarantine().isQuarantined(List.of(7L, 8L)));
    silent.add(ids.get(0));
    run(MAX_TAKE_OVER);
    PromptQuarantine ofSuccessor = members.get(ids.get(1)).coordinator.quarantine();
    ofSuccessor.recordSound(new RunId(ids.get(1), 1), List.of(7L, 8L), clock.instant());
    run(Duration.ofSeconds(1));
    assertThat(members.entrySet())
        .filteredOn(m -> !silent.contains(m.getKey()))
        .noneMatch(m -> m.getValue().coordinator.quarantine().isQuarantined(List.of(7L, 8L)));
  }

  @Test
  void coordinatorLearnsTheQuarantineFromAHostThatAttaches() {
    createFleet(9);
    members.get(ids.get(5)).coordinator.quarantine().add(Set.of(7L), clock.instant());
    run(Duration.ofSeconds(2));
    assertThat(members.get(ids.get(0)).coordinator.quarantine().isQuarantined(List.of(7L, 8L)))
        .isTrue();
  }

  @Test
  void coordinatorThatOnlyItsSuccessorCannotReachStaysCoordinator() {
    createFleet(95);
    run(Duration.ofSeconds(8));
    members
        .get(ids.get(50))
        .link
        .onCoordinatorLost(
            ids.get(1), CoordinatorLost.newBuilder().setHost(ids.get(0).value()).build());
    run(Duration.ofSeconds(2));
    assertThat(attachedTo(ids.get(0))).isEqualTo(95);
  }

  /** The load of the busiest host must not grow with the fleet, but for attached hosts' pings. */
  @Test
  void pingsToTheCoordinatorStayNearlyFlat() {
    createFleet(351);
    run(Duration.ofSeconds(8));
    receivedBy.clear();
    run(Duration.ofSeconds(10));
    int perSecond = receivedBy.getOrDefault(ids.get(0), 0) / 10;
    assertThat(perSecond).isLessThan(2 * 20 * 1000 / (int) TICK.toMillis());
  }

  /** As the store goes down the last reads of the hosts differ by up to one interval. */
  @Test
  void coordinatorIsNotLeftWhenTheStoreGoesDownForAll() {
    createFleet(9);
    run(Duration.ofSeconds(3));
    cutFromStore.add(ids.get(0));
    run(Duration.ofMillis(600));
    cutFromStore.addAll(ids);
    for (int i = 0; i < 60; i++) {
      run(Duration.ofMillis(50));
      assertThat(attachedTo(ids.get(0))).as("after " + 50 * (i + 1) + " ms").isEqualTo(9);
    }
  }

  /** All processes are killed and start together; the store still lists the previous ones. */
  @Test
  void hostsThatRestartTogetherAgreeOnOneCoordinatorWithinASecond() {
    createFleet(11);
    run(Duration.ofSeconds(3));
    restartAll();
    run(Duration.ofSeconds(1));
    assertThat(attachedTo(ids.get(10))).isEqualTo(11);
    run(Duration.ofSeconds(3));
    assertThat(attachedTo(ids.get(10))).isEqualTo(11);
  }

  /** Replaces all hosts by new processes; the last host registers first. */
  private void restartAll() {
    List<Entry> earlier = members.get(ids.get(0)).storeView.hostTable().entries();
    members.clear();
    for (int i = 0; i < ids.size(); i++) {
      FleetHost restarted = FleetFixtures.callerHost(ids.get(i), 2);
      Member member = new Member(restarted, Revision.of(1000 - i));
      member.storeView.hostTable().replaceFromRead(new Snapshot(Revision.of(500), earlier));
      members.put(ids.get(i), member);
    }
  }

  /** A host that follows the store makes six calls for it; those that attach need none of them. */
  @Test
  void hostsThatStartTogetherDoNotAllFollowTheStore() {
    createFleet(95);
    run(Duration.ofSeconds(3));
    restartAll();
    Set<HostId> followers = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      run(STEP);
      ids.stream().filter(id -> members.get(id).follower.isFollowing()).forEach(followers::add);
    }
    assertThat(attachedTo(ids.get(94))).isEqualTo(95);
    assertThat(followers).contains(ids.get(94)).hasSizeLessThanOrEqualTo(MAX_FOLLOWERS);
  }

  /** Adds processes that have not registered; they have read the store once. */
  private List<HostId> addStartingHosts(int count) {
    List<Entry> entries = members.get(ids.get(0)).storeView.hostTable().entries();
    List<HostId> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      FleetHost host = FleetFixtures.callerHost(HostId.of("started-%03d".formatted(i)), 1);
      Member member = new Member(host, Revision.NONE);
      member.storeView.hostTable().replaceFromRead(new Snapshot(Revision.of(500), entries));
      member.storeView.evidence().recordOwnRead(clocks.now());
      members.put(host.id(), member);
      readingOnce.add(host.id());
      added.add(host.id());
    }
    ids.addAll(added);
    return added;
  }

  private void listEngines() {
    Entry engine =
        new Entry("e/1", new byte[] {1}, Revision.of(600), Revision.of(600), LeaseId.NONE);
    members
        .values()
        .forEach(
            m ->
                m.storeView
                    .engineTable()
                    .replaceFromRead(new Snapshot(Revision.of(600), List.of(engine))));
  }

  /**
   * Load pattern: after a loss of all power most hosts start while a few already serve. Each asks
   * all others for a sign of life; a table from each of them would starve the coordinator.
   */
  @Test
  void startingHostsGetTheTablesFromFewHosts() {
    createFleet(30);
    run(Duration.ofSeconds(3));
    listEngines();
    List<HostId> started = addStartingHosts(65);
    run(Duration.ofSeconds(1));
    assertThat(attachedTo(ids.get(0))).isEqualTo(95);
    assertThat(started).allMatch(id -> tablesReceivedBy.getOrDefault(id, 0) == 1);
  }

  /** The same with a coordinator that answers late, since all hosts attach to it at once. */
  @Test
  void startingHostsWaitForACoordinatorThatAnswersLate() {
    createFleet(30);
    readingOnce.addAll(ids.subList(1, 30));
    run(Duration.ofSeconds(3));
    answerDelays.put(ids.get(0), Duration.ofMillis(350));
    List<HostId> started = addStartingHosts(65);
    for (int i = 0; i < 200; i++) {
      run(STEP);
      assertThat(started)
          .as("after " + 10 * (i + 1) + " ms")
          .noneMatch(id -> members.get(id).slots.coordinator().contains(id));
    }
    assertThat(attachedTo(ids.get(0))).isEqualTo(95);
  }

  /** Load pattern: as all hosts restart, the slow ones start seconds after the others. */
  @Test
  void callersAreNotSentToHostsThatHaveNotStartedAgain() {
    createFleet(95);
    run(Duration.ofSeconds(3));
    restartAll();
    silent.addAll(ids.subList(0, 80));
    run(Duration.ofMillis(800));
    for (HostId started : ids.subList(80, 95)) {
      assertThat(callerHosts(started)).isEqualTo(Set.copyOf(ids.subList(80, 95)));
    }
    silent.clear();
    run(Duration.ofSeconds(2));
    assertThat(callerHosts(ids.get(94))).as("slow hosts have attached").hasSize(95);
    run(Duration.ofSeconds(2));
    assertThat(callerHosts(ids.get(94))).as("all that are listed").hasSize(95);
  }

  @Test
  void hostThatStartsCutOffFromTheOthersNamesAllHosts() {
    createFleet(30);
    run(Duration.ofSeconds(3));
    silent.addAll(ids);
    HostId started = addStartingHosts(1).get(0);
    for (int i = 0; i < 100; i++) {
      run(STEP);
      assertThat(callerHosts(started)).hasSize(30);
    }
  }

  @Test
  void hostThatStartsInARunningFleetNamesAllThatRun() {
    createFleet(30);
    run(Duration.ofSeconds(3));
    HostId started = addStartingHosts(1).get(0);
    for (int i = 0; i < 100; i++) {
      run(STEP);
      assertThat(callerHosts(started)).hasSize(30);
    }
  }

  private Set<HostId> callerHosts(HostId host) {
    return members.get(host).link.callerHosts().stream()
        .map(FleetHost::id)
        .collect(Collectors.toSet());
  }

  /** A first ping opens a connection at both hosts. */
  @Test
  void startingHostsOfARunningFleetPingFewHosts() {
    createFleet(30);
    run(Duration.ofSeconds(3));
    receivedBy.clear();
    List<HostId> started = addStartingHosts(65);
    run(Duration.ofSeconds(1));
    assertThat(attachedTo(ids.get(0))).isEqualTo(95);
    assertThat(receivedBy.keySet().stream().filter(started::contains).count()).isEqualTo(65);
    assertThat(members.keySet().stream().filter(id -> pingedByStarted(started, id)).count())
        .isLessThanOrEqualTo(3);
  }

  private boolean pingedByStarted(List<HostId> started, HostId id) {
    return started.stream().anyMatch(s -> pinged.getOrDefault(s, Set.of()).contains(id));
  }
}
