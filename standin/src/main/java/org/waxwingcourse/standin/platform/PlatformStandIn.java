package org.waxwingcourse.standin.platform;

import java.net.URI;
import java.time.InstantSource;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.standin.web.JsonExchange;
import org.waxwingcourse.standin.web.StandInServer;
import org.waxwingcourse.store.hosts.ListedHostCodec;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * The platform's store and host list over HTTP.
 *
 * <p>Besides etcd's paths and {@code GET /hosts} it answers {@code POST /control/faults}, {@code
 * POST /control/silence} and {@code GET /control/counts}.
 */
public final class PlatformStandIn implements Service {
  private static final long TICK_MILLIS = 50;

  private final MemoryStore store;
  private final LaggingHostList hosts;
  private final StandInServer server;
  private ScheduledExecutorService ticker;

  private PlatformStandIn(PlatformOptions options) {
    InstantSource clock = MonotonicClock.start();
    store = MemoryStore.of(clock);
    store.setFaults(
        StoreFaults.NONE.withRates(options.readsPerSecond(), options.writesPerSecond()));
    hosts = new LaggingHostList(store, clock, options.hostListLag());
    EtcdFront front = new EtcdFront(store, clock);
    server =
        StandInServer.of(
            "platform",
            options.port(),
            options.oneWayDelay(),
            chain -> {
              front.handlers(chain);
              handlers(chain);
            });
  }

  /** Returns a stand-in that is yet to be started. */
  public static PlatformStandIn create(PlatformOptions options) {
    return new PlatformStandIn(options);
  }

  /** Starts a stand-in. */
  public static PlatformStandIn start(PlatformOptions options) {
    PlatformStandIn standIn = create(options);
    standIn.start();
    return standIn;
  }

  @Override
  public void start() {
    ticker = Executors.newSingleThreadScheduledExecutor();
    ticker.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    server.start();
  }

  @Override
  public void stop() {
    if (ticker != null) {
      ticker.shutdownNow();
    }
    server.stop();
  }

  /** Returns the port it listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the base address. */
  public URI address() {
    return server.address();
  }

  /** Returns the store behind it, for tests in the same process. */
  public MemoryStore store() {
    return store;
  }

  /** Makes the connections that are open now silent for good. */
  public void silence() {
    server.connections().silenceAll();
  }

  private void silence(Context ctx) {
    JsonExchange.sendValue(ctx, store.counts());
    ctx.getDirectChannelAccess().getChannel().eventLoop().execute(this::silence);
  }

  private void tick() {
    store.tick();
    hosts.tick();
  }

  private void handlers(Chain chain) throws Exception {
    chain
        .get(
            "hosts",
            ctx -> JsonExchange.sendJson(ctx, 200, ListedHostCodec.writeAll(hosts.hosts())))
        .get("control/counts", ctx -> JsonExchange.sendValue(ctx, store.counts()))
        .post("control/silence", this::silence)
        .post(
            "control/faults",
            ctx -> JsonExchange.parseBody(ctx, FaultOrder.class, o -> set(ctx, o)));
  }

  private void set(Context ctx, FaultOrder order) {
    order
        .faults()
        .ifPresentOrElse(
            faults -> {
              store.setFaults(faults);
              store.loseAnswers(order.loseAnswers());
              JsonExchange.sendValue(ctx, order);
            },
            () -> JsonExchange.sendBadRequest(ctx, "outage must be none, refusing or silent"));
  }
}
