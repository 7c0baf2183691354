package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Replays steady arrivals on fleets of growing size and counts how many requests open a connection:
 * each host keeps connections for some seconds after a run and names them in its requests.
 */
class IdleConnectionPlacementTest {
  private static final Duration KEEP_ALIVE = Duration.ofSeconds(5);
  private static final Duration RUN = Duration.ofMillis(500);
  private static final Duration SPAN = Duration.ofSeconds(16);

  /** Requests in this time are not counted, since the first of a host must open a connection. */
  private static final Duration WARM_UP = Duration.ofSeconds(8);

  private record Pair(HostId host, UpstreamId engine) {}

  private record Ending(Instant at, RunId id, Pair pair) {}

  private record Outcome(double connectionsPerRequest, int maxRuns, int refused) {}

  private static Outcome replay(int hosts, int engines, double perSecond, boolean named) {
    SlotScheduler scheduler = new SlotScheduler();
    Random random = new Random(1);
    Instant start = Instant.ofEpochSecond(1000);
    List<EngineEntry> entries = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      entries.add(SlotSimulation.engine("engine-" + i, 8, false));
    }
    scheduler.setEngines(entries, 8, start);
    Map<HostId, Map<UpstreamId, List<Instant>>> idle = new HashMap<>();
    Map<UpstreamId, Integer> runs = new HashMap<>();
    PriorityQueue<Ending> endings = new PriorityQueue<>((a, b) -> a.at.compareTo(b.at));
    int opened = 0;
    int counted = 0;
    int maxRuns = 0;
    int refused = 0;
    Instant now = start;
    for (long n = 1; now.isBefore(start.plus(SPAN)); n++) {
      now = now.plusNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
      while (!endings.isEmpty() && !endings.peek().at.isAfter(now)) {
        Ending ending = endings.poll();
        RunEnd end = new RunEnd(RunEnd.How.WHOLE, Duration.ofMillis(50), Duration.ofMillis(15), 0);
        scheduler.endRun(ending.id, end, ending.at);
        runs.merge(ending.pair.engine, -1, Integer::sum);
        idle.computeIfAbsent(ending.pair.host, h -> new HashMap<>())
            .computeIfAbsent(ending.pair.engine, e -> new ArrayList<>())
            .add(ending.at.plus(KEEP_ALIVE));
      }
      HostId host = HostId.of("host-" + random.nextInt(hosts));
      Map<UpstreamId, List<Instant>> ownIdle = idle.computeIfAbsent(host, h -> new HashMap<>());
      Instant at = now;
      ownIdle.values().forEach(expiries -> expiries.removeIf(expiry -> expiry.isBefore(at)));
      ownIdle.values().removeIf(List::isEmpty);
      Set<UpstreamId> connected = Set.copyOf(ownIdle.keySet());
      RunId id = new RunId(host, n);
      for (SlotDecision decision :
          scheduler.submit(
              SlotSimulation.onlineRequest(id, named ? connected : Set.of(), now), now)) {
        if (decision instanceof SlotDecision.Grant grant) {
          Pair pair = new Pair(host, grant.engine());
          maxRuns = Math.max(maxRuns, runs.merge(grant.engine(), 1, Integer::sum));
          List<Instant> open = ownIdle.getOrDefault(pair.engine, new ArrayList<>());
          boolean isNew = open.isEmpty();
          if (!isNew) {
            open.remove(open.size() - 1);
          }
          if (now.isAfter(start.plus(WARM_UP))) {
            counted++;
            opened += isNew ? 1 : 0;
          }
          endings.add(new Ending(now.plus(RUN), id, pair));
        } else {
          refused++;
        }
      }
    }
    return new Outcome((double) opened / counted, maxRuns, refused);
  }

  @ParameterizedTest
  @CsvSource({"7, 13, 60", "60, 42, 193", "350, 350, 1500"})
  void fewRequestsOpenAConnectionInAFleetOfAnySize(int hosts, int engines, double perSecond) {
    Outcome before = replay(hosts, engines, perSecond, false);
    Outcome after = replay(hosts, engines, perSecond, true);
    System.out.printf("%d hosts, %d engines: %s without, %s%n", hosts, engines, before, after);
    assertThat(after.connectionsPerRequest).isLessThan(before.connectionsPerRequest / 2);
    assertThat(after.connectionsPerRequest).isLessThan(0.25);
    assertThat(after.maxRuns).isLessThanOrEqualTo(8);
    assertThat(after.refused).isLessThanOrEqualTo(before.refused);
  }
}
