package org.waxwingcourse.node.web;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.service.Service;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.ConnectionClosedException;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfigBuilder;

/** A Ratpack server whose errors have the form of the OpenAI API. */
public final class HttpServer implements Service {
  private static final EventLog LOG = EventLog.of(HttpServer.class);
  private static final int NOT_FOUND = 404;

  /** Ratpack cuts a connection at this many times the limit; up to there a handler refuses. */
  private static final int HEADER_ROOM = 4;

  /**
   * Where and how a server listens.
   *
   * @param address where it listens; port zero lets the system choose
   * @param threads event loop threads
   * @param headerBytes largest request header
   * @param idleTimeout how long a connection may be silent
   */
  public record Options(
      InetSocketAddress address, int threads, int headerBytes, Duration idleTimeout) {}

  private final Options options;
  private final List<Routes> routes;
  private RatpackServer server;

  private HttpServer(Options options, List<Routes> routes) {
    this.options = options;
    this.routes = List.copyOf(routes);
  }

  /** Returns a server of the given routes. */
  public static HttpServer of(Options options, List<Routes> routes) {
    return new HttpServer(options, routes);
  }

  @Override
  public void start() {
    try {
      server =
          RatpackServer.start(
              spec ->
                  spec.serverConfig(this::configure)
                      .registryOf(
                          registry ->
                              registry
                                  .add(ServerErrorHandler.class, HttpServer::serverError)
                                  .add(ClientErrorHandler.class, HttpServer::clientError))
                      .handlers(this::addRoutes));
    } catch (Exception e) {
      throw new IllegalStateException("no server can listen on " + options.address(), e);
    }
  }

  @Override
  public void stop() {
    try {
      if (server != null) {
        server.stop();
      }
    } catch (Exception e) {
      throw new IllegalStateException("the server on " + options.address() + " cannot stop", e);
    }
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.getBindPort();
  }

  private void configure(ServerConfigBuilder config) {
    config
        .address(options.address().getAddress())
        .port(options.address().getPort())
        .threads(options.threads())
        .development(false)
        .registerShutdownHook(false)
        .maxHeaderSize(HEADER_ROOM * options.headerBytes())
        .idleTimeout(options.idleTimeout());
  }

  private void addRoutes(Chain chain) throws Exception {
    for (Routes part : routes) {
      part.addTo(chain);
    }
  }

  private static void serverError(Context context, Throwable error) {
    if (error instanceof ConnectionClosedException) {
      return;
    }
    LOG.write(Event.REQUEST_FAILED, context.getRequest().getPath(), error.toString());
    new ApiError(500, "internal_error", "the host failed", ApiError.Run.UNKNOWN, null)
        .send(context, Instant.EPOCH);
  }

  private static void clientError(Context context, int status) {
    String path = "/" + context.getRequest().getPath();
    String message =
        status == NOT_FOUND ? "path \"" + path + "\" does not exist" : "status " + status;
    RefusalCode code = status == NOT_FOUND ? RefusalCode.NOT_FOUND : RefusalCode.INVALID_REQUEST;
    ApiError error = ApiError.of(new Refusal(code, message, Instant.EPOCH));
    new ApiError(status, error.code(), message, ApiError.Run.NOT_RUN, null)
        .send(context, Instant.EPOCH);
  }
}
