package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.waxwingcourse.model.id.ServiceName;

/**
 * Where requests of one host name and path prefix go, and on what terms.
 *
 * @param name the route's name
 * @param host host name that callers ask for, lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be done with its requests
 * @param timeout longest time that a request is kept without its final answer
 * @param objective time in which an answer earns its full worth; of a stream, its first event
 * @param gapObjective longest pause between events of a stream that is on time, zero if unstated
 * @param rank urgency, 0 is the highest
 * @param services where requests go, by weight
 * @param maxAttempts most engines that one request may run on
 * @param open whether no key is needed
 * @param resumable whether a stream may go on at another engine
 * @param jobs the terms of a route of kind JOB
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    Duration timeout,
    Duration objective,
    Duration gapObjective,
    int rank,
    List<WeightedService> services,
    int maxAttempts,
    boolean open,
    boolean resumable,
    Option<JobTerms> jobs) {
  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
  }

  /** Tells whether a request may be sent again after it may have run. */
  public boolean isRepeatable() {
    return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable;
  }

  /** Returns the service of one request, by weight; {@code uniform} lies in [0, 1). */
  public ServiceName pick(double uniform) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double left = uniform * total;
    for (WeightedService candidate : services) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
