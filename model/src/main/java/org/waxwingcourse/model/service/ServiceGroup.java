package org.waxwingcourse.model.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Starts services in the order given and stops those that were started in the reverse order. */
public final class ServiceGroup implements Service {
  private final List<Service> services = new ArrayList<>();
  private final Deque<Service> started = new ArrayDeque<>();

  /** Adds a service behind those added before and returns it. */
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
