package org.waxwingcourse.fleet.coordinate;

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
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.evacuate.EngineConditions;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.stream.StreamNeeds;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
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
 * A fleet of five hosts with a simulated clock and network, of which the first three are the
 * candidates for coordinator. The store answers nobody, so that hosts learn from one another only.
 */
abstract class SimulatedFleet {
  static final ServiceName SERVICE = ServiceName.of("s");
  static final Duration TICK = Duration.ofMillis(130);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration START = Duration.ofSeconds(3);
  private static final int HOSTS = 5;

  final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  final Clocks clocks = new Clocks(clock, clock);
  final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  final Queue<Message> network = new ArrayDeque<>();
  final List<Member> members = new ArrayList<>();

  /** Hosts that are down. */
  final Set<HostId> silent = new HashSet<>();

  /** Hosts that do not reach the store. */
  final Set<HostId> withoutStore = new HashSet<>();

  /** Hosts that run and reach no other host. */
  final Set<HostId> cutOff = new HashSet<>();

  final Map<Long, UpstreamId> grants = new HashMap<>();
  final List<String> refusals = new ArrayList<>();

  record Message(HostId from, HostId to, FleetMessage content) {}

  /** The parts of one host that request and grant slots. */
  final class Member {
    final HostId id;
    final StoreView storeView =
        StoreView.of(document -> Either.left("none"), clocks, FleetFixtures::readEngine);
    final EngineConditions conditions =
        new EngineConditions(storeView, FleetFixtures::readOrder, clock);
    final EngineDirectory engines =
        new EngineDirectory(storeView.engineTable(), FleetFixtures::readEngine, conditions);
    final StreamOrigins streams = new StreamOrigins();
    final Coordinator coordinator;
    final SlotClient slots;
    final CoordinatorLink link;
    final FleetMessageRouter router;

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
              streams,
              () -> Revision.of(rank));
      router =
          new FleetMessageRouter(
              link, coordinator, slots, (from, message) -> {}, (from, message) -> {});
      conditions.follow(engines);
      engines.addListener(coordinator::setEngines);
      engines.addStatementListener(link::reportStatements);
    }

    int slots() {
      return coordinator.load(SERVICE).slots();
    }

    /** Requests a slot for an online request that may wait long. */
    long requestSlot() {
      return requestSlot(Option.none());
    }

    /** As {@link #requestSlot()}, for a request with the given fingerprint. */
    long requestSlot(Option<RequestFingerprint> fingerprint) {
      return requestSlot(fingerprint, Option.none());
    }

    /** As {@link #requestSlot()}, for a request with a stream. */
    long requestSlot(StreamNeeds stream) {
      return requestSlot(Option.none(), Option.some(stream));
    }

    private long requestSlot(Option<RequestFingerprint> fingerprint, Option<StreamNeeds> stream) {
      SlotRequirements requirements =
          new SlotRequirements(
              RequestId.of("r"),
              SERVICE,
              WorkClass.ONLINE,
              0,
              Option.none(),
              Option.none(),
              Deadline.after(clock, Duration.ofSeconds(30)),
              Deadline.after(clock, Duration.ofSeconds(60)),
              List.of(),
              Set.of(),
              Option.none(),
              fingerprint,
              stream,
              HomeRegions.ANY,
              Option.none(),
              RequestSize.UNKNOWN);
      return requestSlot(requirements);
    }

    /** Requests a slot. */
    long requestSlot(SlotRequirements requirements) {
      RecordingListener listener = new RecordingListener();
      listener.number = slots.requestSlot(requirements, listener);
      return listener.number;
    }
  }

  final class RecordingListener implements SlotListener {
    private long number;

    @Override
    public void onGrant(UpstreamId engine, Option<SoftwareId> software, Duration waited) {
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
  final void startFleet() {
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
  final void stopTimer() {
    timer.shutdownNow();
  }

  /** Returns the engines that the store lists. */
  abstract List<Entry> listedEngines();

  /** Lets a host read the engines in the store. */
  void list(Member member, long revision) {
    member
        .storeView
        .engineTable()
        .replaceFromRead(new Snapshot(Revision.of(revision), listedEngines()));
  }

  void run(Duration span) {
    Instant end = clock.instant().plus(span);
    while (clock.instant().isBefore(end)) {
      clock.advance(STEP);
      long step = clock.instant().toEpochMilli() / STEP.toMillis();
      for (int i = 0; i < members.size(); i++) {
        Member member = members.get(i);
        if ((step + i) % (TICK.toMillis() / STEP.toMillis()) == 0 && !silent.contains(member.id)) {
          if (!withoutStore.contains(member.id)) {
            member.storeView.evidence().recordOwnRead(clocks.now());
            member.storeView.contact().recordSign();
          }
          member.storeView.removeLapsed();
          member.link.updateAttachment();
        }
        member.coordinator.processQueues();
      }
      deliver();
    }
  }

  private boolean isDelivered(Message message) {
    boolean cut = cutOff.contains(message.to) || cutOff.contains(message.from);
    return !silent.contains(message.to)
        && !silent.contains(message.from)
        && (message.to.equals(message.from) || !cut);
  }

  void deliver() {
    while (!network.isEmpty()) {
      Message message = network.poll();
      if (isDelivered(message)) {
        Member receiver = members.stream().filter(m -> m.id.equals(message.to)).findFirst().get();
        receiver.router.onMessage(message.from, message.content.toByteArray());
      }
    }
  }
}
