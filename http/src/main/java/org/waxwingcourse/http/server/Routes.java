package org.waxwingcourse.http.server;

import ratpack.handling.Chain;

/** Adds the handlers of one part to a server. */
@FunctionalInterface
public interface Routes {
  /**
   * Adds the handlers.
   *
   * @throws Exception if a handler cannot be built, which stops the start of the server
   */
  void addTo(Chain chain) throws Exception;
}
