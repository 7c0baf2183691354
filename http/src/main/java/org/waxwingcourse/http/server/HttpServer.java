package org.waxwingcourse.http.server;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.waxwingcourse.model.service.Service;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfigBuilder;

/** A Ratpack server of routes, with the error answers of its front. */
public final class HttpServer implements Service {
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
  private final ErrorAnswers errors;
  private RatpackServer server;

  private HttpServer(Options options, List<Routes> routes, ErrorAnswers errors) {
    this.options = options;
    this.routes = List.copyOf(routes);
    this.errors = errors;
  }

  /** Returns a server of the given routes. */
  public static HttpServer of(Options options, List<Routes> routes, ErrorAnswers errors) {
    return new HttpServer(options, routes, errors);
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
                                  .add(ServerErrorHandler.class, errors::failed)
                                  .add(ClientErrorHandler.class, errors::refused))
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
}
