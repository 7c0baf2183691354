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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.wire.fleet.FleetMessage;

/**
 * Engines that said in answers that they were leaving were granted on until the store said so too.
 * Simulates a fleet of five hosts whose store lists all engines as ready throughout; the first
 * three are the candidates for coordinator.
 */
class LeavingEngineGrantTest {
  private static final Duration TICK = Duration.ofMillis(130);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration START = Duration.ofSeconds(3);
  private static final int HOSTS = 5;
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final UpstreamId LEAVING = UpstreamId.of("engine-1");
  private static final UpstreamId STAYING = UpstreamId.of("engine-2");
  private static final EngineBoot LEAVING_BOOT = new EngineBoot(LEAVING, 1);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final Queue<Message> network = new ArrayDeque<>();
  private final List<Member> members = new ArrayList<>();
  private final Set<HostId> silent = new HashSet<>();
  private final Map<Long, UpstreamId> grants = new HashMap<>();
  private final List<String> refusals = new ArrayList<>();

  private record Message(HostId from, HostId to, FleetMessage content) {}

  /** The parts of one host that request and grant slots. */
  private final class Member {
    private final HostId id;
    private final StoreView storeView =
        StoreView.of(document -> Either.left("none"), clocks, FleetFixtures::readEngine);
    private final EngineDirectory engines =
        new EngineDirectory(storeView.engineTable(), FleetFixtures::readEngine);
    private final Coordinator coordinator;
    private final SlotClient slots;
    private final CoordinatorLink link;
    private final FleetMessageRouter router;

    Member(FleetHost self, int rank) {
      id = self.id();
      PeerTransport peers =
          FleetFixtures.recordingPeers((to, m) -> network.add(new Message(id, to, m)));
      slots = new SlotClient(peers, clock, FleetFixtures.DATA_CENTRE, List::of);
      coordinator = new Coordinator(peers, clock);
      StoreFollower.Sources sources =
          new StoreFollower.Sources(KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix("e/"));
      MemoryStore store = MemoryStore.of(InstantSource.system());
      store.setFaults(store.faults().withOutage(StoreFaults.Outage.SILENT));
      link =
          new CoordinatorLink(
              self,
              peers,
              storeView,
              engines,
              clocks,
              new StoreFollower(store, storeView, clocks, timer, sources, orders -> {}),
              coordinator,
              slots,
              () -> Revision.of(rank));
      router = new FleetMessageRouter(link, coordinator, slots, (from, message) -> {});
      engines.addListener(coordinator::setEngines);
      engines.addStatementListener(link::reportStatements);
    }

    boolean knowsLeaving() {
      return engines.findEngine(LEAVING).exists(EngineEntry::leaving);
    }

    int slots() {
      return coordinator.load(SERVICE).slots();
    }

    long requestSlot() {
      SlotRequirements requirements =
          new SlotRequirements(
              RequestId.of("r"),
              SERVICE,
              WorkClass.ONLINE,
              0,
              Option.none(),
              Deadline.after(clock, Duration.ofSeconds(30)),
              Deadline.after(clock, Duration.ofSeconds(60)),
              List.of(),
              Set.of(),
              Option.none());
      RecordingListener listener = new RecordingListener();
      listener.number = slots.requestSlot(requirements, listener);
      return listener.number;
    }
  }

  private final class RecordingListener implements SlotListener {
    private long number;

    @Override
    public void onGrant(UpstreamId engine, Duration waited) {
      grants.put(number, engine);
    }

    @Override
    public void onRefusal(RefusalCode code, Instant retryAt, String reason) {
      refusals.add(reason);
    }

    @Override
    public void onYield() {}
  }

  @BeforeEach
  void createFleet() {
    List<FleetHost> hosts = new ArrayList<>();
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      FleetHost host = FleetFixtures.callerHost(HostId.of("host-" + i), 1);
      hosts.add(host);
      entries.add(
          new Entry(
              StoreKeys.hostKey(host.id(), host.boot()),
              host.encode(),
              Revision.of(i + 1),
              Revision.of(i + 1),
              LeaseId.NONE));
    }
    for (FleetHost host : hosts) {
      Member member = new Member(host, hosts.indexOf(host) + 1);
      member.storeView.hostTable().replaceFromRead(new Snapshot(Revision.of(9), entries));
      members.add(member);
      list(member, 9);
    }
    run(START);
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private static void list(Member member, long revision) {
    List<Entry> engines =
        List.of(
            FleetFixtures.engineEntry(LEAVING.value(), 1, 1, false, 1, 1),
            FleetFixtures.engineEntry(STAYING.value(), 2, 1, false, 1, 1));
    member.storeView.engineTable().replaceFromRead(new Snapshot(Revision.of(revision), engines));
  }

  private void run(Duration span) {
    Instant end = clock.instant().plus(span);
    while (clock.instant().isBefore(end)) {
      clock.advance(STEP);
      long step = clock.instant().toEpochMilli() / STEP.toMillis();
      for (int i = 0; i < members.size(); i++) {
        Member member = members.get(i);
        if ((step + i) % (TICK.toMillis() / STEP.toMillis()) == 0 && !silent.contains(member.id)) {
          member.storeView.evidence().recordOwnRead(clocks.now());
          member.link.updateAttachment();
        }
      }
      deliver();
    }
  }

  private void deliver() {
    while (!network.isEmpty()) {
      Message message = network.poll();
      if (!silent.contains(message.to) && !silent.contains(message.from)) {
        Member receiver = members.stream().filter(m -> m.id.equals(message.to)).findFirst().get();
        receiver.router.onMessage(message.from, message.content.toByteArray());
      }
    }
  }

  @Test
  void waitingRequestIsNotGrantedAnEngineThatSaysThatItLeaves() {
    Member host = members.get(3);
    List<Long> running = List.of(host.requestSlot(), host.requestSlot());
    deliver();
    assertThat(grants).containsOnlyKeys(running);
    long waiting = host.requestSlot();
    deliver();
    host.engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    deliver();
    assertThat(members.get(0).slots()).as("capacity").isEqualTo(1);
    long there = running.stream().filter(n -> grants.get(n).equals(LEAVING)).findFirst().get();
    host.slots.endRun(there, RunEnd.of(RunEnd.How.WHOLE));
    deliver();
    assertThat(grants).doesNotContainKey(waiting);
    long elsewhere = running.stream().filter(n -> n != there).findFirst().get();
    host.slots.endRun(elsewhere, RunEnd.of(RunEnd.How.WHOLE));
    deliver();
    assertThat(grants).containsEntry(waiting, STAYING);
    assertThat(refusals).isEmpty();
  }

  @Test
  void grantIsNotRepeatedOnAnEngineThatSaysThatItLeaves() {
    Member host = members.get(3);
    long first = host.requestSlot();
    long second = host.requestSlot();
    deliverWithoutGrants();
    members.get(4).engines.markLeaving(LEAVING_BOOT, RequestId.of("other"));
    deliver();
    run(Duration.ofSeconds(2));
    assertThat(grants.values()).containsOnly(STAYING);
    assertThat(grants.keySet()).isSubsetOf(first, second).hasSize(1);
  }

  private void deliverWithoutGrants() {
    while (!network.isEmpty()) {
      Message message = network.poll();
      if (!message.content.hasGrant()) {
        members.stream()
            .filter(m -> m.id.equals(message.to))
            .forEach(m -> m.router.onMessage(message.from, message.content.toByteArray()));
      }
    }
  }

  @Test
  void otherHostsLearnWithTheirNextPong() {
    members.get(3).engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    deliver();
    assertThat(members.get(0).knowsLeaving()).as("coordinator, at once").isTrue();
    run(TICK.multipliedBy(2));
    assertThat(members).allMatch(Member::knowsLeaving);
  }

  @Test
  void nextCoordinatorLearnsBeforeItGrants() {
    silent.add(members.get(0).id);
    Member host = members.get(4);
    host.engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    long[] requests = {host.requestSlot(), host.requestSlot()};
    run(Duration.ofSeconds(2));
    assertThat(host.slots.coordinator()).contains(members.get(1).id);
    assertThat(members.get(1).slots()).isEqualTo(1);
    assertThat(grants).hasSize(1).containsValue(STAYING);
    assertThat(grants.keySet()).isSubsetOf(requests[0], requests[1]);
  }

  @Test
  void hostThatIsCutOffHoldsWhatItWasTold() {
    Member host = members.get(4);
    members.stream().filter(m -> m != host).forEach(m -> silent.add(m.id));
    host.engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    run(Duration.ofSeconds(2));
    assertThat(host.slots.coordinator()).contains(host.id);
    list(host, 10);
    host.requestSlot();
    deliver();
    assertThat(grants.values()).containsOnly(STAYING);
  }

  @Test
  void coordinatorThatHasMissedTheReportLearnsWithTheNextPing() {
    members.get(3).engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    network.clear();
    run(TICK.multipliedBy(2));
    assertThat(members.get(0).slots()).isEqualTo(1);
  }
}
