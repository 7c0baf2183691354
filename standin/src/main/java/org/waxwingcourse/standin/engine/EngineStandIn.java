package org.waxwingcourse.standin.engine;

import java.net.URI;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.standin.web.JsonExchange;
import org.waxwingcourse.standin.web.StandInServer;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * A model engine over HTTP: the OpenAI chat completions API, small calls for load, cache events,
 * cancel, resume and orders, and control calls that make it fail.
 */
public final class EngineStandIn implements Service {
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_NOT_FOUND = 404;
  private static final String OWNER = "waxwing";

  private final EngineLoop loop;
  private final EngineRecords records;
  private final ChatHandler chat;
  private final StandInServer server;

  private EngineStandIn(EngineOptions options) {
    InstantSource clock = MonotonicClock.start();
    loop = new EngineLoop(options, clock);
    records = new EngineRecords(options.models(), options.checksFencing());
    chat = new ChatHandler(loop, records, clock);
    server = StandInServer.of("engine", options.port(), options.oneWayDelay(), this::handlers);
  }

  /** Returns a stand-in that is yet to be started. */
  public static EngineStandIn create(EngineOptions options) {
    return new EngineStandIn(options);
  }

  /** Starts a stand-in. */
  public static EngineStandIn start(EngineOptions options) {
    EngineStandIn standIn = create(options);
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
    loop.stop();
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
  public void setFaults(EngineFaults faults) {
    loop.setFaults(faults);
  }

  /** Resets all connections and refuses new ones, until {@link #revive}. */
  public void kill() {
    server.connections().resetAll();
    server.stop();
    loop.restart();
    records.restart();
  }

  /** Listens again on the same port after {@link #kill}, with an empty state. */
  public void revive() {
    server.start();
  }

  /** Loses all state and every open connection, and goes on serving. */
  public void restart() {
    server.connections().resetAll();
    loop.restart();
    records.restart();
  }

  /** Makes the connections that are open now silent for good. */
  public void silence() {
    server.connections().silenceAll();
  }

  /** Returns how often the request with that id has been run. */
  public int runsOf(String requestId) {
    return records.runs().stream()
        .filter(run -> run.requestId().equals(requestId))
        .mapToInt(EngineRecords.RunCount::runs)
        .sum();
  }

  /** Returns how many requests have been run, repeated ones included. */
  public int runs() {
    return records.runs().stream().mapToInt(EngineRecords.RunCount::runs).sum();
  }

  /** Returns the load without lag, for tests. */
  public int running() {
    return loop.countRunning().join();
  }

  /** Tells whether any caller has sent that text in a header. */
  public boolean hasSeenHeaderValue(String text) {
    return records.headers().stream().anyMatch(header -> header.value().contains(text));
  }

  private void handlers(Chain chain) throws Exception {
    chain
        .all(this::see)
        .post("v1/chat/completions", chat::complete)
        .get("v1/models", ctx -> unlessFrozen(() -> JsonExchange.sendValue(ctx, models())))
        .get("engine/load", ctx -> unlessFrozen(() -> JsonExchange.sendValue(ctx, loop.load())))
        .get("engine/cache-events", ctx -> unlessFrozen(() -> cacheEvents(ctx)))
        .get("engine/runs", ctx -> JsonExchange.sendValue(ctx, records.runs()))
        .path("engine/orders", this::orders)
        .post("engine/cancel/:id", ctx -> unlessFrozen(() -> cancel(ctx)))
        .post("engine/resume/:id", ctx -> unlessFrozen(() -> chat.resume(ctx)))
        .get("control/headers", ctx -> JsonExchange.sendValue(ctx, records.headers()))
        .post(
            "control/faults",
            ctx -> JsonExchange.parseBody(ctx, EngineFaults.class, f -> set(ctx, f)))
        .post("control/kill", ctx -> inBackground(ctx, this::kill))
        .post("control/restart", ctx -> inBackground(ctx, this::restart))
        .post("control/silence", ctx -> inBackground(ctx, this::silence));
  }

  private void see(Context ctx) {
    if (!ctx.getRequest().getPath().startsWith("control/")) {
      var headers = ctx.getRequest().getHeaders();
      headers.getNames().forEach(name -> records.see(name, headers.getAll(name)));
    }
    ctx.next();
  }

  private void unlessFrozen(Runnable action) {
    if (loop.faults().frozen()) {
      JsonExchange.neverRespond();
    } else {
      action.run();
    }
  }

  private ChatAnswer.Models models() {
    List<ChatAnswer.Model> models =
        records.models().stream()
            .map(name -> new ChatAnswer.Model(name, "model", 0, OWNER))
            .toList();
    return new ChatAnswer.Models("list", models);
  }

  private void cacheEvents(Context ctx) {
    String after = ctx.getRequest().getQueryParams().getOrDefault("after", "0");
    if (after.matches("\\d{1,18}")) {
      JsonExchange.sendValue(ctx, loop.events().after(Long.parseLong(after)));
    } else {
      JsonExchange.sendBadRequest(ctx, "after must be the number of an event");
    }
  }

  private void orders(Context ctx) throws Exception {
    ctx.byMethod(
        methods ->
            methods
                .get(() -> JsonExchange.sendValue(ctx, records.orders()))
                .post(() -> unlessFrozen(() -> order(ctx))));
  }

  private void order(Context ctx) {
    JsonExchange.parseBody(
        ctx,
        EngineOrder.class,
        order -> {
          if (records.take(order)) {
            JsonExchange.sendValue(ctx, order);
          } else {
            JsonExchange.sendJson(ctx, STATUS_CONFLICT, JsonExchange.encode(order));
          }
        });
  }

  private void cancel(Context ctx) {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    loop.cancel(ctx.getPathTokens().get("id"), done::complete);
    Promise.<Boolean>async(downstream -> downstream.accept(done))
        .then(found -> JsonExchange.sendJson(ctx, found ? 200 : STATUS_NOT_FOUND, "{}"));
  }

  private void set(Context ctx, EngineFaults faults) {
    loop.setFaults(faults);
    JsonExchange.sendValue(ctx, faults);
  }

  private static void inBackground(Context ctx, Runnable action) {
    JsonExchange.sendJson(ctx, 200, "{}");
    new Thread(action, "control").start();
  }
}
