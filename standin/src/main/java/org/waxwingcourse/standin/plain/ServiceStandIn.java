package org.waxwingcourse.standin.plain;

import io.netty.channel.Channel;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.standin.web.Answers;
import org.waxwingcourse.standin.web.Connections;
import org.waxwingcourse.standin.web.StandInServer;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * A plain service that takes any method and path, counts the calls and answers with what it was
 * asked, so that a checker can tell crossed answers.
 */
public final class ServiceStandIn implements Service {
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private final CallLedger ledger;
  private final StandInServer server;
  private final AtomicInteger resetsBefore = new AtomicInteger();
  private final AtomicInteger resetsAfter = new AtomicInteger();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile ServiceFaults faults = ServiceFaults.NONE;

  private ServiceStandIn(ServiceOptions options) {
    ledger = new CallLedger(options.repeatable());
    server = StandInServer.of("service", options.port(), options.oneWayDelay(), this::handlers);
  }

  /** What a call is answered with. */
  private record Echo(String method, String path, String idempotencyKey, String body, int runs) {}

  /** Returns a stand-in that is yet to be started. */
  public static ServiceStandIn create(ServiceOptions options) {
    return new ServiceStandIn(options);
  }

  /** Starts a stand-in. */
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

  /** Returns the port it listens on. */
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
    resetsBefore.set(newFaults.resetBefore());
    resetsAfter.set(newFaults.resetAfter());
    answersToLose.set(newFaults.loseAnswers());
  }

  /** Returns how often a call with that idempotency key has run. */
  public int runsOfKey(String key) {
    return ledger.runsOfKey(key);
  }

  /** Makes the connections that are open now silent for good. */
  public void silence() {
    server.connections().silenceAll();
  }

  private void handlers(Chain chain) throws Exception {
    chain
        .get("control/calls", ctx -> Answers.json(ctx, ledger.counts()))
        .post("control/faults", ctx -> Answers.withBody(ctx, ServiceFaults.class, f -> set(ctx, f)))
        .post("control/silence", this::silence)
        .all(this::serve);
  }

  private void set(Context ctx, ServiceFaults newFaults) {
    setFaults(newFaults);
    Answers.json(ctx, newFaults);
  }

  private void silence(Context ctx) {
    Answers.send(ctx, 200, "{}");
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    channel.eventLoop().execute(this::silence);
  }

  private void serve(Context ctx) {
    ServiceFaults now = faults;
    if (now.frozen()) {
      Answers.hang();
    } else if (now.status() != 0) {
      Answers.send(ctx, now.status(), "{}");
    } else {
      ctx.getRequest().getBody().then(body -> run(ctx, body.getText()));
    }
  }

  private void run(Context ctx, String body) {
    if (takeOne(resetsBefore)) {
      Connections.reset(ctx);
      return;
    }
    String path = "/" + ctx.getRequest().getPath();
    String key = ctx.getRequest().getHeaders().get(IDEMPOTENCY_KEY);
    int runs = ledger.run(path, key);
    if (takeOne(resetsAfter)) {
      Connections.reset(ctx);
    } else if (takeOne(answersToLose)) {
      Answers.hang();
    } else {
      Echo echo = new Echo(ctx.getRequest().getMethod().getName(), path, key, body, runs);
      answer(ctx, echo);
    }
  }

  private void answer(Context ctx, Echo echo) {
    Duration delay = Duration.ofMillis(faults.delayMillis());
    if (delay.isZero()) {
      Answers.json(ctx, echo);
    } else {
      Promise.value(echo).defer(delay).then(e -> Answers.json(ctx, e));
    }
  }

  private static boolean takeOne(AtomicInteger left) {
    return left.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
