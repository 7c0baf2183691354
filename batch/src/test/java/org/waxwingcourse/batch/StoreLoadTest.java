package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.batch.intake.UploadLimits;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.run.RunSettings;
import org.waxwingcourse.standin.store.CallCounts;
import org.waxwingcourse.store.KeyRange;

/**
 * Measures store calls, throughput and recovery time with the production settings, and prints the
 * figures.
 */
class StoreLoadTest {
  private static final int HOSTS = 9;
  private static final double PLANNED_HOSTS = 350;
  private static final double PLANNED_ITEMS_PER_SECOND = 96e6 / 86_400;
  private static final double PLANNED_JOBS_PER_SECOND = 8_900 / 86_400.0;
  private static final double MAX_WRITES_PER_SECOND = 50;
  private static final double MAX_READS_PER_SECOND = 200;

  private record CallRates(double reads, double writes, double watches) {
    static CallRates between(CallCounts from, CallCounts to, double divisor) {
      return new CallRates(
          (to.reads() - from.reads()) / divisor,
          (to.writes() + to.leases() - from.writes() - from.leases()) / divisor,
          (to.watches() - from.watches()) / divisor);
    }
  }

  private static BatchSimulation simulation() {
    return new BatchSimulation(1, UploadLimits.STANDARD);
  }

  private static List<BatchSimulation.Host> hosts(BatchSimulation simulation, int count) {
    List<BatchSimulation.Host> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(
          simulation.new Host("host-" + i, BatchSimulation.NO_CRASH, false, RunSettings.STANDARD));
    }
    hosts.forEach(BatchSimulation.Host::step);
    return hosts;
  }

  private static boolean isLive(BatchSimulation simulation) {
    return !simulation.store.readDirectly(KeyRange.ofPrefix(Keys.LIVE)).entries().isEmpty();
  }

  /** Returns the store calls for the upload, run and download of a job, per thousand items. */
  private static CallRates callRatesOfJob(int items) {
    BatchSimulation simulation = simulation();
    List<BatchSimulation.Host> hosts = hosts(simulation, HOSTS);
    CallCounts before = simulation.store.counts();
    Job job = simulation.createJob(hosts.get(0), items, true);
    while (isLive(simulation)) {
      hosts.forEach(BatchSimulation.Host::step);
      simulation.advance(Duration.ofSeconds(1));
    }
    for (int i = 0; i < job.input().chunks(); i++) {
      hosts.get(1).results.readResults(job, i, '+');
    }
    return CallRates.between(before, simulation.store.counts(), items / 1000.0);
  }

  /** Returns the store calls per host and second while the only job has no free chunk. */
  private static CallRates callRatesOfIdleHost() {
    BatchSimulation simulation = simulation();
    simulation.engine.respondsImmediately = false;
    List<BatchSimulation.Host> hosts = hosts(simulation, HOSTS);
    simulation.createJob(hosts.get(0), 256, true);
    hosts.forEach(BatchSimulation.Host::step);
    CallCounts before = simulation.store.counts();
    int seconds = 3600;
    for (int i = 0; i < seconds; i += 5) {
      simulation.advance(Duration.ofSeconds(5));
      hosts.forEach(BatchSimulation.Host::step);
    }
    return CallRates.between(before, simulation.store.counts(), (double) seconds * HOSTS);
  }

  /** Returns the reads of each host for a job that another host runs. */
  private static double readsPerNewJob() {
    BatchSimulation simulation = simulation();
    simulation.engine.respondsImmediately = false;
    List<BatchSimulation.Host> hosts = hosts(simulation, HOSTS);
    long before = simulation.store.counts().reads();
    for (int i = 0; i < 20; i++) {
      BatchFile file = hosts.get(0).upload(BatchSimulation.inputLines(0, 10)).get();
      hosts.get(0).jobs.create(BatchSimulation.newJob(file, true, "24h", Optional.empty())).get();
      hosts.forEach(BatchSimulation.Host::step);
    }
    return (simulation.store.counts().reads() - before) / 20.0 / HOSTS;
  }

  @Test
  void storeCallsStayBelowTheLimitsAtThePlannedSize() {
    CallRates jobRates = null;
    for (int items : new int[] {1_000, 10_000, 100_000}) {
      jobRates = callRatesOfJob(items);
      System.out.printf(
          "%7d items: %.1f writes, %.1f reads, %.1f watches per thousand%n",
          items, jobRates.writes(), jobRates.reads(), jobRates.watches());
    }
    CallRates idleRates = callRatesOfIdleHost();
    double newJobReads = readsPerNewJob();
    double writes =
        jobRates.writes() * PLANNED_ITEMS_PER_SECOND / 1000 + idleRates.writes() * PLANNED_HOSTS;
    double reads =
        jobRates.reads() * PLANNED_ITEMS_PER_SECOND / 1000
            + idleRates.reads() * PLANNED_HOSTS
            + newJobReads * PLANNED_HOSTS * PLANNED_JOBS_PER_SECOND;
    System.out.printf(
        "idle host: %.4f writes/s, %.4f reads/s; new job: %.2f reads per host%n",
        idleRates.writes(), idleRates.reads(), newJobReads);
    System.out.printf("planned size: %.1f writes/s, %.1f reads/s%n", writes, reads);
    assertThat(writes).isLessThan(MAX_WRITES_PER_SECOND);
    assertThat(reads).isLessThan(MAX_READS_PER_SECOND);
  }

  @Test
  void chunkOfACrashedHostResumesWithinLeaseAndPollTime() {
    long worstSeconds = 0;
    int repeatedRuns = 0;
    for (int seed = 0; seed < 20; seed++) {
      BatchSimulation simulation = new BatchSimulation(seed, UploadLimits.STANDARD);
      simulation.engine.respondsImmediately = false;
      List<BatchSimulation.Host> hosts = hosts(simulation, 2);
      simulation.createJob(hosts.get(0), 200, true);
      hosts.get(0).step();
      simulation.engine.completeRunning(30);
      hosts.get(0).hostStore.crash();
      simulation.engine.running.clear();
      Instant crashedAt = simulation.clock.instant();
      while (simulation.engine.running.isEmpty()) {
        simulation.advance(Duration.ofSeconds(1));
        hosts.get(1).step();
      }
      worstSeconds =
          Math.max(
              worstSeconds, Duration.between(crashedAt, simulation.clock.instant()).toSeconds());
      simulation.engine.respondsImmediately = true;
      simulation.engine.completeRunning(1000);
      hosts.get(1).step();
      repeatedRuns += simulation.engine.repeatedRuns();
    }
    RunSettings settings = RunSettings.STANDARD;
    System.out.printf(
        "chunk of a crashed host resumes after at most %d s (lease %d s, poll %d s); %.1f items run"
            + " again per crash%n",
        worstSeconds,
        settings.leaseTimeToLive().toSeconds(),
        settings.pollInterval().toSeconds(),
        repeatedRuns / 20.0);
    assertThat(worstSeconds)
        .isLessThanOrEqualTo(
            settings.leaseTimeToLive().plus(settings.pollInterval().multipliedBy(2)).toSeconds());
    assertThat(repeatedRuns / 20).isLessThanOrEqualTo(settings.maxItemsInFlight() + 30);
  }

  @Test
  void throughputIsNearTheCapacityOfTheEngines() {
    BatchSimulation simulation = simulation();
    simulation.engine.respondsImmediately = false;
    List<BatchSimulation.Host> hosts = hosts(simulation, 3);
    int items = 12_800;
    int slots = 128;
    simulation.createJob(hosts.get(0), items, true);
    int steps = 0;
    while (simulation.engine.startedItems < items || !simulation.engine.running.isEmpty()) {
      hosts.forEach(BatchSimulation.Host::step);
      simulation.engine.completeRunning(slots);
      simulation.advance(Duration.ofSeconds(1));
      steps++;
    }
    double share = (double) items / slots / steps;
    System.out.printf("throughput: %.0f %% of the capacity of the engines%n", 100 * share);
    assertThat(share).isGreaterThan(0.9);
  }
}
