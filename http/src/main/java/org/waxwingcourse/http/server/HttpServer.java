package org.waxwingcourse.http.server;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.waxwingcourse.http.RatpackClasses;
import org.waxwingcourse.model.service.Service;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;

/** A Ratpack server for a list of routes, with the error responses of their interface. */
public final class HttpServer implements Service {
  /**
   * Ratpack closes a connection at this multiple of the header limit; below that a handler rejects
   * the request.
   */
  private static final int RATPACK_HEADER_FACTOR = 4;

  /**
   * The address and the limits of a server.
   *
   * @param address the address to listen on; for port zero the system chooses a port
   * @param threads the number of event loop threads
   * @param maxHeaderBytes the maximum size of a request header in bytes
   * @param idleTimeout the time after which an idle connection is closed
   */
  public record Options(
      InetSocketAddress address, int threads, int maxHeaderBytes, Duration idleTimeout) {}

  private final Options options;
  private final List<Routes> routes;
  private final ErrorResponder errors;
  private RatpackServer server;

  private HttpServer(Options options, List<Routes> routes, ErrorResponder errors) {
    this.options = options;
    this.routes = List.copyOf(routes);
    this.errors = errors;
  }

  /** Returns a server for the given routes. */
  public static HttpServer of(Options options, List<Routes> routes, ErrorResponder errors) {
    return new HttpServer(options, routes, errors);
  }

  @Override
  public void start() {
    RatpackClasses.initialize();
    try {
      server =
          new LeanRatpackServer(
              spec ->
                  spec.serverConfig(
                          new FixedServerConfig(
                              options, RATPACK_HEADER_FACTOR * options.maxHeaderBytes()))
                      .registryOf(
                          registry ->
                              registry
                                  .add(ServerErrorHandler.class, errors::onHandlerFailure)
                                  .add(ClientErrorHandler.class, errors::onClientError))
                      .handlers(this::addRoutes));
      server.start();
    } catch (Exception e) {
      throw new IllegalStateException("the server cannot listen on " + options.address(), e);
    }
  }

  @Override
  public void stop() {
    try {
      if (server != null) {
        server.stop();
      }
    } catch (Exception e) {
      throw new IllegalStateException("the server on " + options.address() + " failed to stop", e);
    }
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.getBindPort();
  }

  private void addRoutes(Chain chain) throws Exception {
    chain.all(ConnectionOrder::await);
    for (Routes routeGroup : routes) {
      routeGroup.addTo(chain);
    }
  }
}
