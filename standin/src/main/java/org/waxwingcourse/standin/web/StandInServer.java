package org.waxwingcourse.standin.web;

import java.net.InetAddress;
import java.net.URI;
import java.time.Duration;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.service.Service;
import ratpack.error.ServerErrorHandler;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/** A Ratpack server on the loopback address that tracks its open connections. */
public final class StandInServer implements Service {
  private static final EventLog LOG = EventLog.of(StandInServer.class);
  private static final int MAX_BODY_BYTES = 64 << 20;
  private static final int STATUS_SERVER_ERROR = 500;
  private static final int THREADS = 2;

  private final String name;
  private final int requestedPort;
  private final Duration oneWayDelay;
  private final Action<Chain> handlers;
  private final OpenConnections connections;
  private RatpackServer server;
  private int boundPort;

  private StandInServer(
      String name, int requestedPort, Duration oneWayDelay, Action<Chain> handlers) {
    this.name = name;
    this.requestedPort = requestedPort;
    this.oneWayDelay = oneWayDelay;
    this.handlers = handlers;
    this.connections = new OpenConnections(oneWayDelay);
  }

  /**
   * Returns a server that is not started yet.
   *
   * @param name the simulated component, used in log lines and error messages
   * @param port the port to listen on, or zero for any free port
   * @param oneWayDelay delay added in each direction: before a request is handled and before each
   *     write
   * @param handlers registers the request handlers
   */
  public static StandInServer of(
      String name, int port, Duration oneWayDelay, Action<Chain> handlers) {
    return new StandInServer(name, port, oneWayDelay, handlers);
  }

  @Override
  public synchronized void start() {
    if (server != null) {
      return;
    }
    int port = boundPort == 0 ? requestedPort : boundPort;
    try {
      server =
          RatpackServer.start(
              spec ->
                  spec.serverConfig(
                          config ->
                              config
                                  .address(InetAddress.getLoopbackAddress())
                                  .port(port)
                                  .threads(THREADS)
                                  .development(false)
                                  .maxContentLength(MAX_BODY_BYTES))
                      .registryOf(
                          registry -> registry.add(ServerErrorHandler.class, this::handleError))
                      .handlers(
                          chain -> {
                            chain.all(this::registerAndDelay);
                            handlers.execute(chain);
                          }));
    } catch (Exception e) {
      throw new IllegalStateException(name + " stand-in cannot listen on port " + port, e);
    }
    boundPort = server.getBindPort();
    LOG.write(Event.STANDIN_STARTED, name, address());
  }

  @Override
  public synchronized void stop() {
    if (server == null) {
      return;
    }
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException(name + " stand-in cannot stop", e);
    }
    server = null;
  }

  /** Returns the port that the server listens on; a restarted server keeps its port. */
  public synchronized int port() {
    return boundPort;
  }

  /** Returns the base address. */
  public synchronized URI address() {
    return URI.create("http://127.0.0.1:" + boundPort);
  }

  /** Returns the open connections. */
  public OpenConnections connections() {
    return connections;
  }

  private void handleError(Context ctx, Throwable error) {
    LOG.write(Event.STANDIN_FAILED, name, ctx.getRequest().getPath(), error.toString());
    ctx.getResponse().status(STATUS_SERVER_ERROR).send();
  }

  private void registerAndDelay(Context ctx) {
    connections.register(ctx);
    if (oneWayDelay.isZero()) {
      ctx.next();
    } else {
      Promise.value(ctx).defer(oneWayDelay).then(Context::next);
    }
  }
}
