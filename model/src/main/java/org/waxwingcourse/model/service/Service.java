package org.waxwingcourse.model.service;

/**
 * An object that can be started and stopped. Both methods return when the transition is complete.
 * {@code stop} may be called more than once, and on a service that was never started.
 */
public interface Service extends AutoCloseable {
  /** Starts the service. */
  void start();

  /** Stops the service and releases its resources. */
  void stop();

  @Override
  default void close() {
    stop();
  }
}
