package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.standin.store.StoreFaults;

/**
 * Injects random combinations of faults, determined by a seed, into a simulation of three hosts.
 */
class RandomFaultsTest {
  private static final int SEEDS = 150;
  private static final int ITEMS = 48;

  @Test
  void eachItemHasOneResultAndCancelledJobsStop() {
    int repeatedRuns = 0;
    int cancelled = 0;
    int unknownResults = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      BatchSimulation simulation = new BatchSimulation(seed);
      Job ended = run(simulation, seed % 3 == 0, seed % 5 == 0);
      repeatedRuns += simulation.engine.repeatedRuns();
      unknownResults += seed % 3 == 0 ? ended.counts().failed() : 0;
      cancelled += ended.state() == JobState.CANCELLED ? 1 : 0;
    }
    System.out.printf(
        "%d seeds: %d cancelled, %d items run again, %d may have run%n",
        SEEDS, cancelled, repeatedRuns, unknownResults);
    assertThat(cancelled).isPositive();
  }

  private Job run(BatchSimulation simulation, boolean nonRepeatable, boolean cancel) {
    simulation.engine.respondsImmediately = false;
    BatchSimulation.Host client = simulation.host("client");
    BatchFile file = client.upload(BatchSimulation.inputLines(0, ITEMS)).get();
    List<BatchSimulation.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(simulation.host("host-" + i));
    }
    Job job = client.jobs.create(BatchSimulation.newJob(file, !nonRepeatable)).get();
    Map<BatchSimulation.Host, Integer> pausedRounds = new HashMap<>();
    for (int round = 0; round < 150; round++) {
      injectFault(simulation, hosts, pausedRounds);
      for (BatchSimulation.Host host : hosts) {
        if (pausedRounds.merge(host, -1, Integer::sum) < 0) {
          host.step();
        }
      }
      simulation.engine.completeRunning(simulation.random.nextInt(6));
      simulation.advance(Duration.ofSeconds(simulation.random.nextInt(8)));
      if (cancel && round == 15) {
        client.jobs.cancel(job.id());
      }
    }
    simulation.store.setFaults(StoreFaults.NONE);
    simulation.store.dropResponses(0);
    BatchSimulation.Host replacement = simulation.host("last");
    hosts.add(replacement);
    Job ended = simulation.runUntilEnded(client, job.id(), hosts);
    check(simulation, client, hosts, ended, nonRepeatable);
    return ended;
  }

  private void check(
      BatchSimulation simulation,
      BatchSimulation.Host client,
      List<BatchSimulation.Host> hosts,
      Job ended,
      boolean nonRepeatable) {
    if (ended.state() == JobState.CANCELLED) {
      int started = simulation.engine.startedItems;
      for (int i = 0; i < 30; i++) {
        hosts.forEach(BatchSimulation.Host::step);
        simulation.engine.completeRunning(3);
        simulation.advance(Duration.ofSeconds(10));
      }
      assertThat(simulation.engine.startedItems)
          .as("starts after the cancellation")
          .isEqualTo(started);
    } else {
      simulation.history.requireResults(ITEMS);
    }
    simulation.checkResults(client, ended);
    if (nonRepeatable) {
      assertThat(simulation.engine.runs.values()).allMatch(n -> n <= 1);
    }
  }

  private void injectFault(
      BatchSimulation simulation,
      List<BatchSimulation.Host> hosts,
      Map<BatchSimulation.Host, Integer> pausedRounds) {
    BatchSimulation.Host host = hosts.get(simulation.random.nextInt(hosts.size()));
    switch (simulation.random.nextInt(30)) {
      case 0 -> host.hostStore.crash();
      case 1 ->
          hosts.set(hosts.indexOf(host), simulation.host("host-" + simulation.random.nextInt(3)));
      case 2 -> pausedRounds.put(host, simulation.random.nextInt(60));
      case 3 -> simulation.store.dropResponses(simulation.random.nextInt(7));
      case 4 ->
          simulation.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
      case 5 -> simulation.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
      case 6, 7, 8 -> simulation.store.setFaults(StoreFaults.NONE);
      case 9 -> simulation.store.setFaults(StoreFaults.NONE.withWatchLag(Duration.ofSeconds(30)));
      case 10 -> simulation.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
      case 12 ->
          host.hostStore.slowDown(
              () -> simulation.advance(Duration.ofMillis(simulation.random.nextInt(20_000))));
      case 13 -> host.hostStore.slowDown(() -> {});
      case 11 -> simulation.store.setFaults(StoreFaults.NONE.withRates(2, 2));
      default -> {}
    }
  }
}
