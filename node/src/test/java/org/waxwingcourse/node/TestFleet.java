package org.waxwingcourse.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.waxwingcourse.config.declaration.DeclarationReader;
import org.waxwingcourse.config.settings.NodeSettings;
import org.waxwingcourse.config.store.ApplyOutcome;
import org.waxwingcourse.config.store.Change;
import org.waxwingcourse.config.store.ConfigurationWriter;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.standin.engine.EngineOptions;
import org.waxwingcourse.standin.engine.EngineStandIn;
import org.waxwingcourse.standin.plain.ServiceOptions;
import org.waxwingcourse.standin.plain.ServiceStandIn;
import org.waxwingcourse.standin.platform.PlatformOptions;
import org.waxwingcourse.standin.platform.PlatformStandIn;

/** Runs the platform, engines, a plain service and nodes in one process, on free TCP ports. */
public final class TestFleet implements AutoCloseable {
  /** The key of the only organisation, "parish". */
  public static final String KEY = "wx-test-parish";

  public static final String MODEL = "organ-scribe";
  private static final long AWAIT_TIMEOUT_NANOS = 60_000_000_000L;
  private static final long SEED = 7;

  private final PlatformStandIn platform = PlatformStandIn.start(PlatformOptions.onPort(0));
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final ServiceStandIn service = ServiceStandIn.start(ServiceOptions.of(false));
  private final List<Node> nodes = new ArrayList<>();
  private Revision revision = Revision.NONE;

  /** Starts a fleet with the given number of engines and nodes, and applies its declarations. */
  public static TestFleet start(int engines, int nodes) {
    TestFleet fleet = new TestFleet();
    for (int i = 0; i < engines; i++) {
      fleet.engines.add(EngineStandIn.start(EngineOptions.of(MODEL)));
    }
    fleet.apply(fleet.declarations(100, 100, KEY));
    for (int i = 1; i <= nodes; i++) {
      fleet.addNode("host-" + i);
    }
    return fleet;
  }

  /** Starts one more node and waits until it has a configuration. */
  public Node addNode(String host) {
    Node node = Node.of(settings(host), MonotonicClock.start(), new Random(SEED));
    node.start();
    nodes.add(node);
    await(node::isReady);
    return node;
  }

  /** Returns declarations of all engines and the service, with one organisation. */
  public String declarations(int rate, int burst, String... keys) {
    StringBuilder text = new StringBuilder();
    text.append("[defaults]\nrate_per_second = %d\nburst = %d\n".formatted(rate, burst));
    List<String> hashes = new ArrayList<>();
    for (String key : keys) {
      hashes.add("\"sha256:" + KeyHash.ofKey(key).hex() + "\"");
    }
    text.append("[[organisation]]\nid = \"parish\"\nkeys = " + hashes + "\n");
    for (int i = 0; i < engines.size(); i++) {
      text.append(
          """
          [[engine]]
          id = "engine-%d"
          address = "%s"
          data_centre = "nile-%d"
          models = ["%s"]
          """
              .formatted(i + 1, engines.get(i).address(), i % 3 + 1, MODEL));
    }
    text.append(
        """
        [[service]]
        name = "billing"
        addresses = ["%s"]
        """
            .formatted(service.address()));
    return text.toString();
  }

  /** Applies declarations and checks that they were accepted. */
  public void apply(String declarations) {
    Change change = Change.of("op-" + revision.value(), "test", Instant.now(), "test").get();
    ApplyOutcome outcome =
        new ConfigurationWriter(platform.store())
            .apply(change, revision, DeclarationReader.parse("fleet.toml", declarations).get())
            .join();
    revision = ((ApplyOutcome.Accepted) outcome).revision();
  }

  /** Returns the platform. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Returns the engine with the given index, from zero. */
  public EngineStandIn engine(int index) {
    return engines.get(index);
  }

  /** Returns the plain service "billing". */
  public ServiceStandIn service() {
    return service;
  }

  /** Returns the node with the given index, from zero. */
  public Node node(int index) {
    return nodes.get(index);
  }

  /** Returns the revision of the last applied declarations. */
  public Revision revision() {
    return revision;
  }

  /** Returns the base address of a node's caller interface. */
  public URI url(int node) {
    return URI.create("http://127.0.0.1:" + nodes.get(node).callerPort());
  }

  /** Waits until the condition holds; fails after a timeout. */
  public static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition did not hold in time");
      }
      Thread.onSpinWait();
      java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
    }
  }

  @Override
  public void close() {
    nodes.forEach(Node::stop);
    engines.forEach(EngineStandIn::stop);
    service.stop();
    platform.stop();
  }

  private NodeSettings settings(String host) {
    InetSocketAddress freePort = new InetSocketAddress("127.0.0.1", 0);
    return new NodeSettings(
        HostId.of(host),
        DataCentreId.of("nile-" + host.charAt(host.length() - 1)),
        io.vavr.control.Option.none(),
        io.vavr.control.Option.none(),
        freePort,
        URI.create("http://127.0.0.1:0"),
        freePort,
        freePort,
        List.of(platform.address()),
        platform.address(),
        new NodeSettings.FleetSecret("test-secret-of-the-fleet"),
        new NodeSettings.Limits(16384, 1000, 1000, 10_000));
  }
}
