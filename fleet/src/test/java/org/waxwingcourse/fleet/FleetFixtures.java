package org.waxwingcourse.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.waxwingcourse.fleet.coordinate.HostEngines;
import org.waxwingcourse.fleet.engine.EngineCondition;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.plan.CallerLimits;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.JobTerms;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.plan.RouteTable;
import org.waxwingcourse.fleet.plan.WeightedService;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerHandler;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.wire.fleet.FleetMessage;

/** Hosts, peers and routes that are shared by several tests. */
public final class FleetFixtures {
  /** The data centre of all hosts. */
  public static final DataCentreId DATA_CENTRE = DataCentreId.of("a");

  private FleetFixtures() {}

  /** Returns a host that serves no callers. */
  public static FleetHost host(HostId id, long boot) {
    return host(id, boot, Option.none());
  }

  /** Returns a host to which callers are sent. */
  public static FleetHost callerHost(HostId id, long boot) {
    return host(id, boot, Option.some("127.0.0.1:2"));
  }

  private static FleetHost host(HostId id, long boot, Option<String> callerAddress) {
    return new FleetHost(
        id,
        boot,
        DATA_CENTRE,
        "r",
        new InetSocketAddress("127.0.0.1", 1),
        callerAddress,
        false,
        Revision.NONE);
  }

  /** Returns peers that drop all messages. */
  public static PeerTransport droppingPeers() {
    return recordingPeers((to, message) -> {});
  }

  /** Returns peers that pass all messages to {@code sent}. */
  public static PeerTransport recordingPeers(BiConsumer<HostId, FleetMessage> sent) {
    return new PeerTransport() {
      @Override
      public void send(HostId to, PeerChannel channel, byte[] payload) {
        try {
          sent.accept(to, FleetMessage.parseFrom(payload));
        } catch (InvalidProtocolBufferException e) {
          throw new AssertionError(e);
        }
      }

      @Override
      public void setHandler(PeerChannel channel, PeerHandler handler) {}
    };
  }

  /** Returns a route for jobs of service {@code s} that are due after 18 s. */
  public static Route jobRoute() {
    return jobRoute(HomeRegions.ANY);
  }

  /** Returns such a route whose items run in some regions only. */
  public static Route jobRoute(HomeRegions homes) {
    return new Route(
        "jobs",
        "h",
        "/j/",
        RequestKind.JOB,
        Duration.ofSeconds(15),
        Duration.ofMillis(400),
        Duration.ofMillis(200),
        0,
        List.of(new WeightedService(ServiceName.of("s"), 1)),
        3,
        false,
        true,
        Option.some(new JobTerms(Duration.ofSeconds(18), Duration.ofSeconds(60), 0)),
        homes);
  }

  /** Returns a keyless route for requests of the given kind to service {@code s}. */
  public static Route onlineRoute(RequestKind kind) {
    return onlineRoute(kind, 2);
  }

  /** Returns such a route whose requests run up to {@code maxAttempts} times. */
  public static Route onlineRoute(RequestKind kind, int maxAttempts) {
    return new Route(
        "online",
        "h",
        "/q/",
        kind,
        Duration.ofSeconds(15),
        Duration.ofSeconds(5),
        Duration.ofSeconds(5),
        0,
        List.of(new WeightedService(ServiceName.of("s"), 1)),
        maxAttempts,
        true,
        true,
        Option.none(),
        HomeRegions.ANY);
  }

  /** Returns a configuration with a single route. */
  public static Plan planOf(Route route) {
    return new Plan(
        1,
        RouteTable.of(List.of(route)),
        Map.of(),
        CallerLimits.DEFAULT,
        OrganisationTable.of(List.of()));
  }

  /** Returns a host's engines without idle connections; what the host learns is passed on. */
  public static HostEngines learningEngines(Consumer<EngineEntry> onLearn) {
    return new HostEngines() {
      @Override
      public List<UpstreamId> connected() {
        return List.of();
      }

      @Override
      public void learn(EngineEntry entry) {
        onLearn.accept(entry);
      }
    };
  }

  /** Returns the store's entry of an engine of service {@code s}, for {@link #readEngine}. */
  public static Entry engineEntry(
      String id, int port, int slots, boolean leaving, long startedAt, long revision) {
    String value = "%d %d %b %d".formatted(port, slots, leaving, startedAt);
    return new Entry(
        "e/" + id,
        value.getBytes(StandardCharsets.UTF_8),
        Revision.of(revision),
        Revision.of(revision),
        LeaseId.NONE);
  }

  /** Returns the entry of an engine in a data centre that stays cold for some time. */
  public static Entry engineEntry(
      String id, DataCentreId dataCentre, Duration cold, long startedAt, long revision) {
    String value = "1 8 false %d %s %d".formatted(startedAt, dataCentre, cold.toMillis());
    return new Entry(
        "e/" + id,
        value.getBytes(StandardCharsets.UTF_8),
        Revision.of(revision),
        Revision.of(revision),
        LeaseId.NONE);
  }

  /** Returns the order to evacuate a data centre, for {@link #readOrder}. */
  public static Entry evacuationOrder(String dataCentre, long revision) {
    return new Entry(
        "o/evacuate/" + dataCentre,
        new byte[0],
        Revision.of(revision),
        Revision.of(revision),
        LeaseId.NONE);
  }

  /** Reads an order made by {@link #evacuationOrder}. */
  public static Option<Either<String, DataCentreId>> readOrder(Entry entry) {
    String prefix = "o/evacuate/";
    return Option.of(entry.key())
        .filter(k -> k.startsWith(prefix))
        .map(k -> k.substring(prefix.length()))
        .map(n -> n.isEmpty() ? Either.left("no name") : Either.right(DataCentreId.of(n)));
  }

  /** Reads an entry made by {@link #engineEntry}. */
  public static Option<EngineEntry> readEngine(Entry entry) {
    String[] fields = new String(entry.value(), StandardCharsets.UTF_8).split(" ");
    return Option.some(
        new EngineEntry(
                UpstreamId.of(entry.key().substring(2)),
                ServiceName.of("s"),
                new InetSocketAddress("127.0.0.1", Integer.parseInt(fields[0])),
                fields.length > 4 ? DataCentreId.of(fields[4]) : DATA_CENTRE,
                Integer.parseInt(fields[1]),
                Boolean.parseBoolean(fields[2]),
                Long.parseLong(fields[3]))
            .withCondition(
                EngineCondition.statedCold(
                    Duration.ofMillis(fields.length > 5 ? Long.parseLong(fields[5]) : 0))));
  }

  /**
   * Runs an action on another thread until it has ended, or waits for a lock that the caller holds.
   */
  public static Thread runBeside(Runnable action) {
    Thread beside = new Thread(action, "beside");
    beside.start();
    while (beside.isAlive() && beside.getState() != Thread.State.BLOCKED) {
      Thread.onSpinWait();
    }
    return beside;
  }

  /** Returns a configuration whose only route is {@link #jobRoute()}. */
  public static Plan jobPlan() {
    return planOf(jobRoute());
  }
}
