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

/** Calls to the store, throughput and recovery, with the settings in force; prints its figures. */
class CostTest {
  private static final int HOSTS = 9;
  private static final double PLANNED_HOSTS = 350;
  private static final double PLANNED_ITEMS_PER_SECOND = 96e6 / 86_400;
  private static final double PLANNED_JOBS_PER_SECOND = 8_900 / 86_400.0;
  private static final double MAX_WRITES_PER_SECOND = 50;
  private static final double MAX_READS_PER_SECOND = 200;

  private record Cost(double reads, double writes, double watches) {
    static Cost between(CallCounts from, CallCounts to, double per) {
      return new Cost(
          (to.reads() - from.reads()) / per,
          (to.writes() + to.leases() - from.writes() - from.leases()) / per,
          (to.watches() - from.watches()) / per);
    }
  }

  private static World world() {
    return new World(1, UploadLimits.STANDARD);
  }

  private static List<World.Host> hosts(World world, int count) {
    List<World.Host> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(world.new Host("host-" + i, World.NEVER, false, RunSettings.STANDARD));
    }
    hosts.forEach(World.Host::step);
    return hosts;
  }

  private static boolean isLive(World world) {
    return !world.store.peek(KeyRange.ofPrefix(Keys.LIVE_JOBS)).entries().isEmpty();
  }

  /** Upload, run and download of one job, per thousand items. */
  private static Cost ofItems(int items) {
    World world = world();
    List<World.Host> hosts = hosts(world, HOSTS);
    CallCounts before = world.store.counts();
    Job job = world.accepted(hosts.get(0), items, true);
    while (isLive(world)) {
      hosts.forEach(World.Host::step);
      world.advance(Duration.ofSeconds(1));
    }
    for (int i = 0; i < job.input().chunks(); i++) {
      hosts.get(1).results.chunk(job, i, '+');
    }
    return Cost.between(before, world.store.counts(), items / 1000.0);
  }

  /** Calls of one host and second while a job waits that has no free chunk. */
  private static Cost ofIdleHost() {
    World world = world();
    world.engine.answersAtOnce = false;
    List<World.Host> hosts = hosts(world, HOSTS);
    world.accepted(hosts.get(0), 256, true);
    hosts.forEach(World.Host::step);
    CallCounts before = world.store.counts();
    int seconds = 3600;
    for (int i = 0; i < seconds; i += 5) {
      world.advance(Duration.ofSeconds(5));
      hosts.forEach(World.Host::step);
    }
    return Cost.between(before, world.store.counts(), (double) seconds * HOSTS);
  }

  /** Calls of each host for a job that others run. */
  private static double readsOfNewJob() {
    World world = world();
    world.engine.answersAtOnce = false;
    List<World.Host> hosts = hosts(world, HOSTS);
    long before = world.store.counts().reads();
    for (int i = 0; i < 20; i++) {
      BatchFile file = hosts.get(0).upload(World.lines(0, 10)).get();
      hosts.get(0).jobs.create(World.newJob(file, true, "24h", Optional.empty())).get();
      hosts.forEach(World.Host::step);
    }
    return (world.store.counts().reads() - before) / 20.0 / HOSTS;
  }

  @Test
  void callsStayUnderTheStoresShareAtThePlannedSize() {
    Cost last = null;
    for (int items : new int[] {1_000, 10_000, 100_000}) {
      last = ofItems(items);
      System.out.printf(
          "%7d items: %.1f writes, %.1f reads, %.1f watches per thousand%n",
          items, last.writes(), last.reads(), last.watches());
    }
    Cost idle = ofIdleHost();
    double newJob = readsOfNewJob();
    double writes = last.writes() * PLANNED_ITEMS_PER_SECOND / 1000 + idle.writes() * PLANNED_HOSTS;
    double reads =
        last.reads() * PLANNED_ITEMS_PER_SECOND / 1000
            + idle.reads() * PLANNED_HOSTS
            + newJob * PLANNED_HOSTS * PLANNED_JOBS_PER_SECOND;
    System.out.printf(
        "idle host: %.4f writes/s, %.4f reads/s; new job: %.2f reads a host%n",
        idle.writes(), idle.reads(), newJob);
    System.out.printf("planned size: %.1f writes/s, %.1f reads/s%n", writes, reads);
    assertThat(writes).isLessThan(MAX_WRITES_PER_SECOND);
    assertThat(reads).isLessThan(MAX_READS_PER_SECOND);
  }

  @Test
  void killedHostsChunkGoesOnWithinItsLeaseAndOneLook() {
    long worst = 0;
    int again = 0;
    for (int seed = 0; seed < 20; seed++) {
      World world = new World(seed, UploadLimits.STANDARD);
      world.engine.answersAtOnce = false;
      List<World.Host> hosts = hosts(world, 2);
      world.accepted(hosts.get(0), 200, true);
      hosts.get(0).step();
      world.engine.answerWaiting(30);
      hosts.get(0).way.kill();
      world.engine.running.clear();
      Instant killed = world.clock.instant();
      while (world.engine.running.isEmpty()) {
        world.advance(Duration.ofSeconds(1));
        hosts.get(1).step();
      }
      worst = Math.max(worst, Duration.between(killed, world.clock.instant()).toSeconds());
      world.engine.answersAtOnce = true;
      world.engine.answerWaiting(1000);
      hosts.get(1).step();
      again += world.engine.runsAgain();
    }
    RunSettings s = RunSettings.STANDARD;
    System.out.printf(
        "killed host's chunk goes on after at most %d s (lease %d s, poll %d s); %.1f items run"
            + " again a kill%n",
        worst, s.leaseTimeToLive().toSeconds(), s.pollInterval().toSeconds(), again / 20.0);
    assertThat(worst)
        .isLessThanOrEqualTo(
            s.leaseTimeToLive().plus(s.pollInterval().multipliedBy(2)).toSeconds());
    assertThat(again / 20).isLessThanOrEqualTo(s.maxItemsInFlight() + 30);
  }

  @Test
  void batchKeepsTheEnginesBusy() {
    World world = world();
    world.engine.answersAtOnce = false;
    List<World.Host> hosts = hosts(world, 3);
    int items = 12_800;
    int slots = 128;
    world.accepted(hosts.get(0), items, true);
    int ticks = 0;
    while (world.engine.started < items || !world.engine.running.isEmpty()) {
      hosts.forEach(World.Host::step);
      world.engine.answerWaiting(slots);
      world.advance(Duration.ofSeconds(1));
      ticks++;
    }
    double share = (double) items / slots / ticks;
    System.out.printf("throughput: %.0f %% of the engines' own%n", 100 * share);
    assertThat(share).isGreaterThan(0.9);
  }
}
