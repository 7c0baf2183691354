package org.waxwingcourse.model.service;

/**
 * Something with a start and a stop. Both return once the change is complete; {@code stop} may be
 * called on a service that was never started and more than once.
 */
public interface Service extends AutoCloseable {
  /** Starts the service. */
  void start();

  /** Stops the service and frees what it holds. */
  void stop();

  @Override
  default void close() {
    stop();
  }
}
