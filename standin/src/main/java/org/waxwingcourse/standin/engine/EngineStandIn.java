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
 * A model engine over HTTP. It serves the OpenAI chat completions API, calls for load, cache
 * events, cancellation, resumption and orders, and control calls that inject faults.
 */
public final class EngineStandIn implements Service {
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_NOT_FOUND = 404;
  private static final String MODEL_OWNER = "waxwing";

  private final EngineLoop loop;
  private final EngineState state;
  private final ChatHandler chat;
  private final StandInServer server;

  private EngineStandIn(EngineOptions options) {
    InstantSource clock = MonotonicClock.start();
    loop = new EngineLoop(options, clock);
    state = new EngineState(options.models(), options.checksFencing());
    chat = new ChatHandler(loop, state, clock);
    server =
        StandInServer.of("engine", options.port(), options.oneWayDelay(), this::registerHandlers);
  }

  /** Returns a stand-in that is not started yet. */
  public static EngineStandIn create(EngineOptions options) {
    return new EngineStandIn(options);
  }

  /** Creates and starts a stand-in. */
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

  /** Returns the port that the stand-in listens on. */
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

  /**
   * Resets all connections, discards the engine state and refuses connections until {@link
   * #listenAgain}. Run counts and received headers are kept.
   */
  public void kill() {
    server.connections().resetAll();
    server.stop();
    loop.restart();
    state.resetForRestart();
  }

  /** Listens again on the same port after {@link #kill}. */
  public void listenAgain() {
    server.start();
  }

  /**
   * Resets all connections and discards the engine state, but keeps listening. Run counts and
   * received headers are kept.
   */
  public void restart() {
    server.connections().resetAll();
    loop.restart();
    state.resetForRestart();
  }

  /** Makes the currently open connections silent permanently. */
  public void silence() {
    server.connections().silenceAll();
  }

  /** Returns the number of runs of the request with that id. */
  public int runsOf(String requestId) {
    return state.runCounts().stream()
        .filter(run -> run.requestId().equals(requestId))
        .mapToInt(EngineState.RunCount::runs)
        .sum();
  }

  /** Returns the number of runs of all requests. */
  public int runs() {
    return state.runCounts().stream().mapToInt(EngineState.RunCount::runs).sum();
  }

  /** Returns the current number of running sequences without the report lag, for tests. */
  public int runningSequences() {
    return loop.countRunning().join();
  }

  /** Returns whether any received header value contains the text. */
  public boolean hasSeenHeaderValue(String text) {
    return state.headers().stream().anyMatch(header -> header.value().contains(text));
  }

  private void registerHandlers(Chain chain) throws Exception {
    chain
        .all(this::recordHeaders)
        .post("v1/chat/completions", chat::handleCompletion)
        .get("v1/models", ctx -> unlessFrozen(() -> JsonExchange.sendValue(ctx, modelList())))
        .get(
            "engine/load",
            ctx -> unlessFrozen(() -> JsonExchange.sendValue(ctx, loop.reportedLoad())))
        .get("engine/cache-events", ctx -> unlessFrozen(() -> handleCacheEvents(ctx)))
        .get("engine/runs", ctx -> JsonExchange.sendValue(ctx, state.runCounts()))
        .path("engine/orders", this::handleOrders)
        .post("engine/cancel/:id", ctx -> unlessFrozen(() -> handleCancel(ctx)))
        .post("engine/resume/:id", ctx -> unlessFrozen(() -> chat.handleResume(ctx)))
        .get("control/headers", ctx -> JsonExchange.sendValue(ctx, state.headers()))
        .post(
            "control/faults",
            ctx -> JsonExchange.parseBody(ctx, EngineFaults.class, f -> handleSetFaults(ctx, f)))
        .post("control/kill", ctx -> acknowledgeAndRun(ctx, this::kill))
        .post("control/restart", ctx -> acknowledgeAndRun(ctx, this::restart))
        .post("control/silence", ctx -> acknowledgeAndRun(ctx, this::silence));
  }

  private void recordHeaders(Context ctx) {
    if (!ctx.getRequest().getPath().startsWith("control/")) {
      var headers = ctx.getRequest().getHeaders();
      headers.getNames().forEach(name -> state.recordHeader(name, headers.getAll(name)));
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

  private ChatResponses.Models modelList() {
    List<ChatResponses.Model> models =
        state.models().stream()
            .map(name -> new ChatResponses.Model(name, "model", 0, MODEL_OWNER))
            .toList();
    return new ChatResponses.Models("list", models);
  }

  private void handleCacheEvents(Context ctx) {
    String after = ctx.getRequest().getQueryParams().getOrDefault("after", "0");
    if (after.matches("\\d{1,18}")) {
      JsonExchange.sendValue(ctx, loop.cacheEvents().eventsAfter(Long.parseLong(after)));
    } else {
      JsonExchange.sendBadRequest(ctx, "after must be the number of an event");
    }
  }

  private void handleOrders(Context ctx) throws Exception {
    ctx.byMethod(
        methods ->
            methods
                .get(() -> JsonExchange.sendValue(ctx, state.orders()))
                .post(() -> unlessFrozen(() -> handleOrder(ctx))));
  }

  private void handleOrder(Context ctx) {
    JsonExchange.parseBody(
        ctx,
        EngineOrder.class,
        order -> {
          if (state.acceptOrder(order)) {
            JsonExchange.sendValue(ctx, order);
          } else {
            JsonExchange.sendJson(ctx, STATUS_CONFLICT, JsonExchange.encode(order));
          }
        });
  }

  private void handleCancel(Context ctx) {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    loop.cancel(ctx.getPathTokens().get("id"), done::complete);
    Promise.<Boolean>async(downstream -> downstream.accept(done))
        .then(found -> JsonExchange.sendJson(ctx, found ? 200 : STATUS_NOT_FOUND, "{}"));
  }

  private void handleSetFaults(Context ctx, EngineFaults faults) {
    loop.setFaults(faults);
    JsonExchange.sendValue(ctx, faults);
  }

  private static void acknowledgeAndRun(Context ctx, Runnable action) {
    JsonExchange.sendJson(ctx, 200, "{}");
    new Thread(action, "control").start();
  }
}
