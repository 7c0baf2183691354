package org.waxwingcourse.standin.plain;

import io.netty.channel.Channel;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.standin.web.JsonExchange;
import org.waxwingcourse.standin.web.OpenConnections;
import org.waxwingcourse.standin.web.StandInServer;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * A plain service that accepts any method and path, counts its runs and echoes each request, so
 * that a test can detect a response that belongs to another request.
 */
public final class ServiceStandIn implements Service {
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private final RunCounter runCounter;
  private final StandInServer server;
  private final AtomicInteger remainingResetsBeforeRun = new AtomicInteger();
  private final AtomicInteger remainingResetsAfterRun = new AtomicInteger();
  private final AtomicInteger remainingLostResponses = new AtomicInteger();
  private volatile ServiceFaults faults = ServiceFaults.NONE;

  private ServiceStandIn(ServiceOptions options) {
    runCounter = new RunCounter(options.repeatable());
    server =
        StandInServer.of("service", options.port(), options.oneWayDelay(), this::registerHandlers);
  }

  /** The response to a call. */
  private record EchoResponse(
      String method, String path, String idempotencyKey, String body, int runs) {}

  /** Returns a stand-in that is not started yet. */
  public static ServiceStandIn create(ServiceOptions options) {
    return new ServiceStandIn(options);
  }

  /** Creates and starts a stand-in. */
  public static ServiceStandIn start(ServiceOptions options) {
    ServiceStandIn standIn = create(options);
    standIn.start();
    return standIn;
  }

  @Override
  public void start() {
    server.start();
  }

  @Override
  public void stop() {
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

  /** Replaces the faults. */
  public void setFaults(ServiceFaults newFaults) {
    faults = newFaults;
    remainingResetsBeforeRun.set(newFaults.resetBefore());
    remainingResetsAfterRun.set(newFaults.resetAfter());
    remainingLostResponses.set(newFaults.loseAnswers());
  }

  /** Returns the number of runs with that idempotency key. */
  public int runsOfKey(String key) {
    return runCounter.runsOfKey(key);
  }

  /** Makes the currently open connections silent permanently. */
  public void silence() {
    server.connections().silenceAll();
  }

  private void registerHandlers(Chain chain) throws Exception {
    chain
        .get("control/calls", ctx -> JsonExchange.sendValue(ctx, runCounter.counts()))
        .post(
            "control/faults",
            ctx -> JsonExchange.parseBody(ctx, ServiceFaults.class, f -> handleSetFaults(ctx, f)))
        .post("control/silence", this::handleSilence)
        .all(this::handleCall);
  }

  private void handleSetFaults(Context ctx, ServiceFaults newFaults) {
    setFaults(newFaults);
    JsonExchange.sendValue(ctx, newFaults);
  }

  private void handleSilence(Context ctx) {
    JsonExchange.sendJson(ctx, 200, "{}");
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    channel.eventLoop().execute(this::silence);
  }

  private void handleCall(Context ctx) {
    ServiceFaults now = faults;
    if (now.frozen()) {
      JsonExchange.neverRespond();
    } else if (now.status() != 0) {
      JsonExchange.sendJson(ctx, now.status(), "{}");
    } else {
      ctx.getRequest().getBody().then(body -> runCall(ctx, body.getText()));
    }
  }

  private void runCall(Context ctx, String body) {
    if (decrementIfPositive(remainingResetsBeforeRun)) {
      OpenConnections.reset(ctx);
      return;
    }
    String path = "/" + ctx.getRequest().getPath();
    String key = ctx.getRequest().getHeaders().get(IDEMPOTENCY_KEY);
    int runs = runCounter.countRun(path, key);
    if (decrementIfPositive(remainingResetsAfterRun)) {
      OpenConnections.reset(ctx);
    } else if (decrementIfPositive(remainingLostResponses)) {
      JsonExchange.neverRespond();
    } else {
      EchoResponse echo =
          new EchoResponse(ctx.getRequest().getMethod().getName(), path, key, body, runs);
      respond(ctx, echo);
    }
  }

  private void respond(Context ctx, EchoResponse echo) {
    Duration delay = Duration.ofMillis(faults.delayMillis());
    if (delay.isZero()) {
      JsonExchange.sendValue(ctx, echo);
    } else {
      Promise.value(echo).defer(delay).then(e -> JsonExchange.sendValue(ctx, e));
    }
  }

  private static boolean decrementIfPositive(AtomicInteger remaining) {
    return remaining.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
