package org.waxwingcourse.load.plan;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * What a load run is to do.
 *
 * @param seed of arrivals, prompts and the choice of hosts
 * @param duration how long requests arrive
 * @param drain how long to wait for answers and batch jobs afterwards
 * @param hosts base addresses to ask first which hosts to use
 * @param model the model to name in requests
 * @param requestTimeout how long to wait for one whole answer
 * @param retries how often a refused request is sent again, at the time that the refusal names
 * @param checkAnswers whether answers are checked against the engine stand-in's deterministic text
 * @param organisations who sends what
 * @param surges spans of higher load
 * @param batches batch jobs
 * @param faults control calls to stand-ins
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
  /** Copies the lists. */
  public LoadPlan {
    hosts = List.copyOf(hosts);
    organisations = List.copyOf(organisations);
    surges = List.copyOf(surges);
    batches = List.copyOf(batches);
    faults = List.copyOf(faults);
  }

  /** Returns the same plan against other hosts. */
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

  /** Returns the same plan with another length and seed. */
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

  /** Returns the same plan without its batch jobs, to compare online latency. */
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
