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
 * Serves the platform's store and host list over HTTP.
 *
 * <p>Besides etcd's paths and {@code GET /hosts}, it serves {@code POST /control/faults}, {@code
 * POST /control/silence} and {@code GET /control/counts}.
 */
public final class PlatformStandIn implements Service {
  private static final long UPDATE_INTERVAL_MILLIS = 50;

  private final MemoryStore store;
  private final DelayedHostList hosts;
  private final StandInServer server;
  private ScheduledExecutorService updateScheduler;

  private PlatformStandIn(PlatformOptions options) {
    InstantSource clock = MonotonicClock.start();
    store = MemoryStore.of(clock);
    store.setFaults(
        StoreFaults.NONE.withRates(options.readsPerSecond(), options.writesPerSecond()));
    hosts = new DelayedHostList(store, clock, options.hostListLag());
    EtcdGateway gateway = new EtcdGateway(store, clock);
    server =
        StandInServer.of(
            "platform",
            options.port(),
            options.oneWayDelay(),
            chain -> {
              gateway.registerHandlers(chain);
              registerHandlers(chain);
            });
  }

  /** Returns a stand-in that is not started yet. */
  public static PlatformStandIn create(PlatformOptions options) {
    return new PlatformStandIn(options);
  }

  /** Creates and starts a stand-in. */
  public static PlatformStandIn start(PlatformOptions options) {
    PlatformStandIn standIn = create(options);
    standIn.start();
    return standIn;
  }

  @Override
  public void start() {
    updateScheduler = Executors.newSingleThreadScheduledExecutor();
    updateScheduler.scheduleWithFixedDelay(
        this::updateState, UPDATE_INTERVAL_MILLIS, UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    server.start();
  }

  @Override
  public void stop() {
    if (updateScheduler != null) {
      updateScheduler.shutdownNow();
    }
    server.stop();
  }

  /** Returns the port that the stand-in listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the base address. */
  public URI address() {
    return server.address();
  }

  /** Returns the underlying store, for tests in the same process. */
  public MemoryStore store() {
    return store;
  }

  /** Makes the currently open connections silent permanently. */
  public void silence() {
    server.connections().silenceAll();
  }

  private void handleSilence(Context ctx) {
    JsonExchange.sendValue(ctx, store.counts());
    ctx.getDirectChannelAccess().getChannel().eventLoop().execute(this::silence);
  }

  private void updateState() {
    store.tick();
    hosts.update();
  }

  private void registerHandlers(Chain chain) throws Exception {
    chain
        .get(
            "hosts",
            ctx -> JsonExchange.sendJson(ctx, 200, ListedHostCodec.writeAll(hosts.hosts())))
        .get("control/counts", ctx -> JsonExchange.sendValue(ctx, store.counts()))
        .post("control/silence", this::handleSilence)
        .post(
            "control/faults",
            ctx ->
                JsonExchange.parseBody(
                    ctx, FaultRequest.class, request -> handleSetFaults(ctx, request)));
  }

  private void handleSetFaults(Context ctx, FaultRequest request) {
    request
        .toStoreFaults()
        .ifPresentOrElse(
            faults -> {
              store.setFaults(faults);
              store.loseAnswers(request.loseAnswers());
              JsonExchange.sendValue(ctx, request);
            },
            () -> JsonExchange.sendBadRequest(ctx, "outage must be none, refusing or silent"));
  }
}
