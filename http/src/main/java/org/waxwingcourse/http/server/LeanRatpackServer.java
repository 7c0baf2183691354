package org.waxwingcourse.http.server;

import java.time.Clock;
import ratpack.exec.ExecController;
import ratpack.func.Action;
import ratpack.func.Function;
import ratpack.impose.Impositions;
import ratpack.registry.Registry;
import ratpack.server.RatpackServer;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.internal.DefaultRatpackServer;

/**
 * A Ratpack server whose registry holds only what its request handling looks up. The standard
 * registry creates an object mapper, an HTTP client with a pool, renderers, parsers and the table
 * of MIME types for each server, of which this product uses none.
 */
final class LeanRatpackServer extends DefaultRatpackServer {
  LeanRatpackServer(Action<? super RatpackServerSpec> definition) throws Exception {
    super(definition, Impositions.none());
  }

  @Override
  protected Registry buildServerRegistry(
      ServerConfig config, Function<? super Registry, ? extends Registry> userRegistry) {
    Registry base =
        Registry.builder()
            .add(ServerConfig.class, config)
            .add(ExecController.class, execController)
            .add(RatpackServer.class, this)
            .add(Clock.class, Clock.systemDefaultZone())
            .build();
    try {
      return base.join(userRegistry.apply(base));
    } catch (Exception e) {
      throw new IllegalStateException("the registry of the server cannot be built", e);
    }
  }
}
