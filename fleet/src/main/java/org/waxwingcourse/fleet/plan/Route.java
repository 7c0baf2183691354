package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.time.Deadline;

/**
 * The destination and rules of the requests for one host name and path prefix.
 *
 * @param name the route's name
 * @param host host name that callers request, in lower case
 * @param pathPrefix path prefix that begins and ends with a slash
 * @param kind how its requests may be run
 * @param timeout longest time until the final answer of a request
 * @param objective time within which an answer has its full value; of a stream, its first event
 * @param gapObjective longest pause between events of a stream that is on time, zero if not stated
 * @param rank urgency, 0 is the highest
 * @param services the services that requests go to, by weight
 * @param maxAttempts maximum number of engines that one request may run on
 * @param keyless whether requests need no key
 * @param resumable whether a stream may be continued by another engine
 * @param jobs the limits of its jobs, present for kind JOB
 * @param homes the regions whose engines may get its requests
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
    boolean keyless,
    boolean resumable,
    Option<JobTerms> jobs,
    HomeRegions homes) {
  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns this route with the given home regions. */
  public Route withHomes(HomeRegions regions) {
    return new Route(
        name,
        host,
        pathPrefix,
        kind,
        timeout,
        objective,
        gapObjective,
        rank,
        services,
        maxAttempts,
        keyless,
        resumable,
        jobs,
        regions);
  }

  /**
   * Returns when the final answer of a request is due that comes at {@code from}: at the end of the
   * route's time or, if earlier, of the caller's.
   *
   * @param callerDeadline until when the caller waits, none if it does not say
   */
  public Deadline answerBy(Instant from, Option<Deadline> callerDeadline) {
    Deadline own = Deadline.at(from.plus(timeout));
    return callerDeadline.map(own::earlier).getOrElse(own);
  }

  /** Returns whether a request may be sent again after it may have run. */
  public boolean isRepeatable() {
    return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable;
  }

  /**
   * Returns the service for one request, chosen by weight; {@code uniform} is a random number in
   * [0, 1).
   */
  public ServiceName selectService(double uniform) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double remaining = uniform * total;
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
