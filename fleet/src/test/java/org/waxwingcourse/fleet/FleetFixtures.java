package org.waxwingcourse.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import org.waxwingcourse.fleet.plan.JobTerms;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.plan.WeightedService;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.PeerHandler;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.wire.fleet.FleetMessage;

/** Hosts, peers and routes that are shared by several tests. */
public final class FleetFixtures {
  /** The data centre of all hosts. */
  public static final DataCentreId DATA_CENTRE = DataCentreId.of("a");

  private FleetFixtures() {}

  /** Returns a host that serves no callers. */
  public static FleetHost host(HostId id, long boot) {
    return new FleetHost(
        id,
        boot,
        DATA_CENTRE,
        "r",
        new InetSocketAddress("127.0.0.1", 1),
        Option.none(),
        false,
        Revision.NONE);
  }

  /** Returns peers that drop all messages. */
  public static Peers droppingPeers() {
    return recordingPeers((to, message) -> {});
  }

  /** Returns peers that pass all messages to {@code sent}. */
  public static Peers recordingPeers(BiConsumer<HostId, FleetMessage> sent) {
    return new Peers() {
      @Override
      public void send(HostId to, Channel channel, byte[] payload) {
        try {
          sent.accept(to, FleetMessage.parseFrom(payload));
        } catch (InvalidProtocolBufferException e) {
          throw new AssertionError(e);
        }
      }

      @Override
      public void handle(Channel channel, PeerHandler handler) {}
    };
  }

  /** Returns a route for jobs of service {@code s} that are due after 18 s. */
  public static Route jobRoute() {
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
        Option.some(new JobTerms(Duration.ofSeconds(18), Duration.ofSeconds(60), 0)));
  }
}
