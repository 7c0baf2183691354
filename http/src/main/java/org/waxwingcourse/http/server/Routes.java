package org.waxwingcourse.http.server;

import ratpack.handling.Chain;

/** Adds a group of handlers to a server. */
@FunctionalInterface
public interface Routes {
  /**
   * Adds the handlers to {@code chain}.
   *
   * @throws Exception if a handler cannot be created; the server then does not start
   */
  void addTo(Chain chain) throws Exception;
}
