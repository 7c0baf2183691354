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

/** Faults drawn by a seed, several at once, over three hosts. */
class ChaosTest {
  private static final int SEEDS = 150;
  private static final int ITEMS = 48;

  @Test
  void eachItemHasOneResultAndCancelledJobsStop() {
    int again = 0;
    int cancelled = 0;
    int unknown = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      World world = new World(seed);
      Job ended = run(world, seed % 3 == 0, seed % 5 == 0);
      again += world.engine.runsAgain();
      unknown += seed % 3 == 0 ? ended.counts().failed() : 0;
      cancelled += ended.state() == JobState.CANCELLED ? 1 : 0;
    }
    System.out.printf(
        "%d seeds: %d cancelled, %d items run again, %d may have run%n",
        SEEDS, cancelled, again, unknown);
    assertThat(cancelled).isPositive();
  }

  private Job run(World world, boolean once, boolean cancel) {
    world.engine.answersAtOnce = false;
    World.Host client = world.host("client");
    BatchFile file = client.upload(World.lines(0, ITEMS)).get();
    List<World.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(world.host("host-" + i));
    }
    Job job = client.jobs.create(World.newJob(file, !once)).get();
    Map<World.Host, Integer> paused = new HashMap<>();
    for (int round = 0; round < 150; round++) {
      fault(world, hosts, paused);
      for (World.Host host : hosts) {
        if (paused.merge(host, -1, Integer::sum) < 0) {
          host.step();
        }
      }
      world.engine.answerWaiting(world.random.nextInt(6));
      world.advance(Duration.ofSeconds(world.random.nextInt(8)));
      if (cancel && round == 15) {
        client.jobs.cancel(job.id());
      }
    }
    world.store.setFaults(StoreFaults.NONE);
    world.store.loseAnswers(0);
    World.Host last = world.host("last");
    hosts.add(last);
    Job ended = world.finish(client, job.id(), hosts);
    check(world, client, hosts, ended, once);
    return ended;
  }

  private void check(
      World world, World.Host client, List<World.Host> hosts, Job ended, boolean once) {
    if (ended.state() == JobState.CANCELLED) {
      int started = world.engine.started;
      for (int i = 0; i < 30; i++) {
        hosts.forEach(World.Host::step);
        world.engine.answerWaiting(3);
        world.advance(Duration.ofSeconds(10));
      }
      assertThat(world.engine.started).as("starts after the cancel").isEqualTo(started);
    } else {
      world.history.complete(ITEMS);
    }
    world.observe(client, ended);
    if (once) {
      assertThat(world.engine.runs.values()).allMatch(n -> n <= 1);
    }
  }

  private void fault(World world, List<World.Host> hosts, Map<World.Host, Integer> paused) {
    World.Host host = hosts.get(world.random.nextInt(hosts.size()));
    switch (world.random.nextInt(30)) {
      case 0 -> host.way.kill();
      case 1 -> hosts.set(hosts.indexOf(host), world.host("host-" + world.random.nextInt(3)));
      case 2 -> paused.put(host, world.random.nextInt(60));
      case 3 -> world.store.loseAnswers(world.random.nextInt(7));
      case 4 -> world.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
      case 5 -> world.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
      case 6, 7, 8 -> world.store.setFaults(StoreFaults.NONE);
      case 9 -> world.store.setFaults(StoreFaults.NONE.withWatchLag(Duration.ofSeconds(30)));
      case 10 -> world.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
      case 12 ->
          host.way.slow(() -> world.advance(Duration.ofMillis(world.random.nextInt(20_000))));
      case 13 -> host.way.slow(() -> {});
      case 11 -> world.store.setFaults(StoreFaults.NONE.withRates(2, 2));
      default -> {}
    }
  }
}
