package org.waxwingcourse.node.web;

import ratpack.handling.Chain;

/** Adds the handlers of one part of the node to the callers' interface. */
@FunctionalInterface
public interface Routes {
  /**
   * Adds the handlers.
   *
   * @throws Exception if a handler cannot be built, which stops the start of the node
   */
  void addTo(Chain chain) throws Exception;
}
