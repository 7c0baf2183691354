package org.waxwingcourse.node.agree;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.waxwingcourse.config.store.ApplyOutcome;
import org.waxwingcourse.config.store.Change;
import org.waxwingcourse.config.store.ConfigurationWriter;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.standin.store.MemoryStore;

/** Runs the agreements of several nodes in one process over one in-memory store. */
final class AgreementFleet implements AutoCloseable {
  private static final long AWAIT_TIMEOUT_NANOS = 60_000_000_000L;
  private static final int DATA_CENTRES = 3;

  final MonotonicClock clock = MonotonicClock.start();
  final MemoryStore store = MemoryStore.of(clock);
  final InMemoryPeers peers = new InMemoryPeers();
  final List<FleetAgreement> nodes = new ArrayList<>();
  private final int size;
  private int operations;
  private Revision revision = Revision.NONE;

  AgreementFleet(int size) {
    this.size = size;
  }

  static AgreementFleet startFleet(int size, int organisations) {
    AgreementFleet fleet = new AgreementFleet(size);
    fleet.apply(configuration(organisations, Rate.of(50, 20)));
    for (int i = 0; i < size; i++) {
      fleet.nodes.add(fleet.startNode(i));
    }
    return fleet;
  }

  FleetAgreement startNode(int index) {
    FleetAgreement node =
        new FleetAgreement(
            host(index),
            dataCentre(index),
            clock,
            new Random(operations * 1_000L + index),
            store,
            peers.endpoint(host(index)),
            new FixedMembershipView(index));
    node.start();
    return node;
  }

  void apply(FleetConfiguration wanted) {
    Change change = Change.of("op-" + ++operations, "test", Instant.EPOCH, "test").get();
    ApplyOutcome outcome = new ConfigurationWriter(store).apply(change, revision, wanted).join();
    revision = ((ApplyOutcome.Accepted) outcome).revision();
  }

  Revision revision() {
    return revision;
  }

  boolean admits(int node, String organisation) {
    return nodes
        .get(node)
        .admission()
        .admit(
            OrganisationId.of(organisation),
            WorkClass.ONLINE,
            Deadline.after(clock, Duration.ofSeconds(1)))
        .toCompletableFuture()
        .join()
        .isEmpty();
  }

  /** Waits for a condition; the timeout is long, so that load on the machine fails no test. */
  static void await(String description, BooleanSupplier condition) {
    long end = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError(description + " did not happen in time");
      }
      java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
    }
  }

  @Override
  public void close() {
    nodes.forEach(FleetAgreement::stop);
    peers.close();
  }

  static HostId host(int index) {
    return HostId.of("host-" + index);
  }

  static FleetConfiguration configuration(int organisations, Rate rate, String... revokedKeys) {
    Map<OrganisationId, Organisation> byId = new HashMap<>();
    for (int i = 0; i < organisations; i++) {
      OrganisationId id = OrganisationId.of("org-" + i);
      boolean keyWorks = !List.of(revokedKeys).contains("key-" + i);
      Set<KeyHash> keys = keyWorks ? Set.of(KeyHash.ofKey("key-" + i)) : Set.of();
      byId.put(id, new Organisation(id, rate, keys));
    }
    Duration second = Duration.ofSeconds(1);
    Defaults defaults = new Defaults(rate, 1, second, second, second, 1, 1);
    return new FleetConfiguration(Revision.NONE, defaults, byId, Map.of(), Map.of(), List.of());
  }

  private static DataCentreId dataCentre(int index) {
    return DataCentreId.of("dc-" + index % DATA_CENTRES);
  }

  private static Member member(int index) {
    return new Member(
        host(index),
        dataCentre(index),
        URI.create("http://127.0.0.1:1"),
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        1,
        MemberState.ALIVE);
  }

  /** A view in which every host of the fleet is always alive. */
  private final class FixedMembershipView implements MembershipView {
    private final int index;
    private final List<Member> members =
        IntStream.range(0, size).mapToObj(AgreementFleet::member).toList();

    FixedMembershipView(int index) {
      this.index = index;
    }

    @Override
    public Member self() {
      return member(index);
    }

    @Override
    public List<Member> members() {
      return members;
    }

    @Override
    public Optional<Member> find(HostId host) {
      return members.stream().filter(m -> m.id().equals(host)).findFirst();
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}
  }
}
