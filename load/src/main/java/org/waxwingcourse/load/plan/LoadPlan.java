package org.waxwingcourse.load.plan;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * The plan of a load run.
 *
 * @param seed seed of the arrivals, the prompts and the selection of hosts
 * @param duration how long requests are sent
 * @param drain how long to wait afterwards for answers and batch jobs
 * @param hosts base addresses of the hosts that are asked first for the list of hosts
 * @param model model named in the requests
 * @param requestTimeout how long to wait for one complete answer
 * @param retries maximum number of retries of a rejected request, each after its Retry-After delay
 * @param checkAnswers whether answers are compared with the deterministic text of the engine
 *     stand-in
 * @param organisations load of each organisation
 * @param surges time spans of higher load
 * @param batches batch jobs
 * @param faults scheduled control calls to stand-ins
 */
public record LoadPlan(
    long seed,
    Duration duration,
    Duration drain,
    List<URI> hosts,
    String model,
    Duration requestTimeout,
    int retries,
    boolean checkAnswers,
    List<OrganisationLoad> organisations,
    List<Surge> surges,
    List<BatchLoad> batches,
    List<PlannedFault> faults) {
  /** Makes the lists immutable. */
  public LoadPlan {
    hosts = List.copyOf(hosts);
    organisations = List.copyOf(organisations);
    surges = List.copyOf(surges);
    batches = List.copyOf(batches);
    faults = List.copyOf(faults);
  }

  /** Returns a copy of the plan with other hosts. */
  public LoadPlan withHosts(List<URI> newHosts) {
    return new LoadPlan(
        seed,
        duration,
        drain,
        newHosts,
        model,
        requestTimeout,
        retries,
        checkAnswers,
        organisations,
        surges,
        batches,
        faults);
  }

  /** Returns a copy of the plan with another duration and seed. */
  public LoadPlan with(Duration newDuration, long newSeed) {
    return new LoadPlan(
        newSeed,
        newDuration,
        drain,
        hosts,
        model,
        requestTimeout,
        retries,
        checkAnswers,
        organisations,
        surges,
        batches,
        faults);
  }

  /** Returns a copy of the plan without its batch jobs, for comparing online latency. */
  public LoadPlan withoutBatches() {
    return new LoadPlan(
        seed,
        duration,
        drain,
        hosts,
        model,
        requestTimeout,
        retries,
        checkAnswers,
        organisations,
        surges,
        List.of(),
        faults);
  }
}
