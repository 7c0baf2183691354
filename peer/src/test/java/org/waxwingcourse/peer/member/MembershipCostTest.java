package org.waxwingcourse.peer.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

/**
 * Measures the cost of the membership protocol per host and second, and compares it with two
 * simpler protocols: heartbeats between all hosts, and the host list alone.
 */
class MembershipCostTest {
  /**
   * Bytes per message beyond its payload: frame, envelope, transport heartbeat with its answer, and
   * the TCP/IP headers of all of these and of their acknowledgements.
   */
  private static final int OVERHEAD_BYTES = 300;

  private static final double TARGET_BYTES = 8_000;
  private static final Duration MEASURED_TIME = Duration.ofSeconds(30);
  private static final int TIMEOUT_HEARTBEATS = 5;
  private static final double LIST_LAG_SECONDS = 30;

  /** Messages, bytes and processor time per host and second, counting both directions. */
  private record Cost(double messages, double payload, double bytes, double cpuMicros) {}

  @Test
  void costPerHostStaysFlatUpTo350Hosts() {
    double bytesAtNineHosts = 0;
    for (int hosts : new int[] {3, 9, 30, 90, 350}) {
      SimulatedFleet fleet = SimulatedFleet.converged(hosts, hosts);
      Cost steady = measure(fleet, MEASURED_TIME);
      print("steady", hosts, steady);
      if (hosts == 9) {
        bytesAtNineHosts = steady.bytes();
      }
      assertThat(steady.bytes()).isLessThan(TARGET_BYTES);
      if (hosts == 350) {
        assertThat(steady.bytes()).isLessThan(2 * bytesAtNineHosts);
        fleet.terminate(HostId.of("host-7"));
        print("one host lost", hosts, measure(fleet, MEASURED_TIME));
        fleet.blocked = (a, b) -> region(fleet, a) != region(fleet, b);
        print("3-way partition", hosts, measure(fleet, MEASURED_TIME));
        fleet.blocked = (a, b) -> false;
        print("partition healed", hosts, measure(fleet, MEASURED_TIME));
        assertThat(fleet.allSee(MemberState.ALIVE, hosts - 1)).isTrue();
      }
    }
  }

  private static int region(SimulatedFleet fleet, HostId host) {
    return fleet.hostIds.indexOf(host) % 3;
  }

  private static Cost measure(SimulatedFleet fleet, Duration time) {
    long messages = fleet.messagesSent;
    long bytes = fleet.bytesSent;
    long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    fleet.runFor(time);
    double hostSeconds = fleet.hosts.size() * (double) time.toSeconds();
    double sent = (fleet.messagesSent - messages) / hostSeconds;
    double payload = (fleet.bytesSent - bytes) / hostSeconds;
    cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
    double bothDirections = 2 * (payload + sent * OVERHEAD_BYTES);
    return new Cost(2 * sent, 2 * payload, bothDirections, cpu / 1_000.0 / hostSeconds);
  }

  private static void print(String what, int hosts, Cost c) {
    System.out.printf(
        "membership cost: %-18s %3d hosts, per host and second: %5.2f messages, %6.0f B payload,"
            + " %6.0f B with transport, %4.0f us%n",
        what, hosts, c.messages(), c.payload(), c.bytes(), c.cpuMicros());
  }

  @Test
  void swimHasNoFalseDeathsAtTenPercentLossAndDetectsFasterThanTheHostList() {
    for (int hosts : new int[] {9, 90}) {
      double allToAllBytes = 2.0 * (hosts - 1) * (60 + OVERHEAD_BYTES);
      double swimFalseDeaths = 0;
      for (double loss : new double[] {0, 0.1, 0.3}) {
        SimulatedFleet fleet = SimulatedFleet.converged(hosts, 17);
        fleet.lossProbability = loss;
        int[] falseDeaths = {0};
        fleet.hosts.values().forEach(s -> s.onChange(countDeaths(fleet, falseDeaths)));
        Cost cost = measure(fleet, Duration.ofMinutes(5));
        int falseDeathsBeforeCrash = falseDeaths[0];
        fleet.terminate(HostId.of("host-0"));
        Duration elapsed =
            fleet.runUntil(
                Duration.ofMinutes(3), () -> fleet.allSee(HostId.of("host-0"), MemberState.DEAD));
        System.out.printf(
            "membership comparison: %2d hosts, loss %.0f%%: SWIM %.1f s until all hosts"
                + " detected it, %d false deaths in 5 min, %.0f B/s; all-to-all %.1f s, %d false"
                + " deaths, %.0f B/s; host list alone %.0f s%n",
            hosts,
            100 * loss,
            elapsed.toMillis() / 1000.0,
            falseDeathsBeforeCrash,
            cost.bytes(),
            TIMEOUT_HEARTBEATS + 1.0,
            allToAllFalseDeaths(hosts, loss, Duration.ofMinutes(5)),
            allToAllBytes,
            LIST_LAG_SECONDS);
        swimFalseDeaths = loss <= 0.1 ? swimFalseDeaths + falseDeathsBeforeCrash : swimFalseDeaths;
        assertThat(elapsed.toSeconds()).isLessThan((long) LIST_LAG_SECONDS);
      }
      assertThat(swimFalseDeaths).isZero();
    }
  }

  /** Returns a listener that counts how often a member disappears from a host's view. */
  private static Consumer<List<Member>> countDeaths(SimulatedFleet fleet, int[] deaths) {
    Set<HostId> missingBefore = new HashSet<>();
    return members -> {
      Set<HostId> missing = new HashSet<>(fleet.hostIds);
      members.forEach(m -> missing.remove(m.id()));
      missing.stream().filter(h -> !missingBefore.contains(h)).forEach(h -> deaths[0]++);
      missingBefore.clear();
      missingBefore.addAll(missing);
    };
  }

  /** Returns how often a host misses five heartbeats of another host in a row. */
  private static int allToAllFalseDeaths(int hosts, double loss, Duration time) {
    Random random = new Random(17);
    int falseDeaths = 0;
    for (int pair = 0; pair < hosts * (hosts - 1); pair++) {
      int missed = 0;
      for (long second = 0; second < time.toSeconds(); second++) {
        missed = random.nextDouble() < loss ? missed + 1 : 0;
        falseDeaths += missed == TIMEOUT_HEARTBEATS ? 1 : 0;
      }
    }
    return falseDeaths;
  }
}
