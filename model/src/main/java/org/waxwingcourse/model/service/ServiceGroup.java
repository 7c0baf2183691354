package org.waxwingcourse.model.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Starts services in the order in which they were added and stops them in reverse order. */
public final class ServiceGroup implements Service {
  private final List<Service> services = new ArrayList<>();
  private final Deque<Service> started = new ArrayDeque<>();

  /** Adds a service to the end of the group and returns it. */
  public <S extends Service> S add(S service) {
    services.add(service);
    return service;
  }

  @Override
  public void start() {
    for (Service service : services) {
      started.push(service);
      service.start();
    }
  }

  @Override
  public void stop() {
    while (!started.isEmpty()) {
      started.pop().stop();
    }
  }
}
