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

/** Cost of membership for a host and second, and the comparison with two simpler ways. */
class MembershipCostTest {
  /** Frame, envelope, heartbeat and answer, and TCP/IP headers of these and their acks. */
  private static final int OVERHEAD_BYTES = 300;

  private static final double TARGET_BYTES = 8_000;
  private static final Duration STEADY = Duration.ofSeconds(30);
  private static final int TIMEOUT_BEATS = 5;
  private static final double LIST_LAG_SECONDS = 30;

  /** Messages, bytes and processor time of a host and second, both directions. */
  private record Cost(double messages, double payload, double bytes, double cpuMicros) {}

  @Test
  void costOfAHostStaysFlatUpToThePlannedSize() {
    double first = 0;
    for (int hosts : new int[] {3, 9, 30, 90, 350}) {
      FakeFleet fleet = FakeFleet.converged(hosts, hosts);
      Cost steady = measure(fleet, STEADY);
      print("steady", hosts, steady);
      if (hosts == 9) {
        first = steady.bytes();
      }
      assertThat(steady.bytes()).isLessThan(TARGET_BYTES);
      if (hosts == 350) {
        assertThat(steady.bytes()).isLessThan(2 * first);
        fleet.kill(HostId.of("host-7"));
        print("one lost", hosts, measure(fleet, STEADY));
        fleet.cut = (a, b) -> region(fleet, a) != region(fleet, b);
        print("three regions cut", hosts, measure(fleet, STEADY));
        fleet.cut = (a, b) -> false;
        print("regions meet", hosts, measure(fleet, STEADY));
        assertThat(fleet.allSee(MemberState.ALIVE, hosts - 1)).isTrue();
      }
    }
  }

  private static int region(FakeFleet fleet, HostId host) {
    return fleet.names.indexOf(host) % 3;
  }

  private static Cost measure(FakeFleet fleet, Duration time) {
    long messages = fleet.messages;
    long bytes = fleet.bytes;
    long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    fleet.run(time);
    double hostSeconds = fleet.hosts.size() * (double) time.toSeconds();
    double sent = (fleet.messages - messages) / hostSeconds;
    double payload = (fleet.bytes - bytes) / hostSeconds;
    cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
    double both = 2 * (payload + sent * OVERHEAD_BYTES);
    return new Cost(2 * sent, 2 * payload, both, cpu / 1_000.0 / hostSeconds);
  }

  private static void print(String what, int hosts, Cost c) {
    System.out.printf(
        "membership cost: %-18s %3d hosts, a host and second: %5.2f messages, %6.0f B payload,"
            + " %6.0f B with transport, %4.0f us%n",
        what, hosts, c.messages(), c.payload(), c.bytes(), c.cpuMicros());
  }

  @Test
  void comparedWithHeartbeatsToAllAndWithTheListAlone() {
    for (int hosts : new int[] {9, 90}) {
      double allToAllBytes = 2.0 * (hosts - 1) * (60 + OVERHEAD_BYTES);
      double swimWrong = 0;
      for (double loss : new double[] {0, 0.1, 0.3}) {
        FakeFleet fleet = FakeFleet.converged(hosts, 17);
        fleet.loss = loss;
        int[] wrong = {0};
        fleet.hosts.values().forEach(s -> s.onChange(countDeaths(fleet, wrong)));
        Cost cost = measure(fleet, Duration.ofMinutes(5));
        int wrongBefore = wrong[0];
        fleet.kill(HostId.of("host-0"));
        Duration took =
            fleet.runUntil(
                Duration.ofMinutes(3), () -> fleet.allSee(HostId.of("host-0"), MemberState.DEAD));
        System.out.printf(
            "membership comparison: %2d hosts, loss %.0f%%: SWIM %.1f s to the last host, %d wrong"
                + " deaths in 5 min, %.0f B/s; to all %.1f s, %d wrong deaths, %.0f B/s;"
                + " list alone %.0f s%n",
            hosts,
            100 * loss,
            took.toMillis() / 1000.0,
            wrongBefore,
            cost.bytes(),
            TIMEOUT_BEATS + 1.0,
            allToAllWrongDeaths(hosts, loss, Duration.ofMinutes(5)),
            allToAllBytes,
            LIST_LAG_SECONDS);
        swimWrong = loss <= 0.1 ? swimWrong + wrongBefore : swimWrong;
        assertThat(took.toSeconds()).isLessThan((long) LIST_LAG_SECONDS);
      }
      assertThat(swimWrong).isZero();
    }
  }

  /** Counts each time that a member leaves a host's view. */
  private static Consumer<List<Member>> countDeaths(FakeFleet fleet, int[] deaths) {
    Set<HostId> before = new HashSet<>();
    return members -> {
      Set<HostId> gone = new HashSet<>(fleet.names);
      members.forEach(m -> gone.remove(m.id()));
      gone.stream().filter(h -> !before.contains(h)).forEach(h -> deaths[0]++);
      before.clear();
      before.addAll(gone);
    };
  }

  /** Counts how often a host misses five heartbeats of another in a row. */
  private static int allToAllWrongDeaths(int hosts, double loss, Duration time) {
    Random random = new Random(17);
    int wrong = 0;
    for (int pair = 0; pair < hosts * (hosts - 1); pair++) {
      int missed = 0;
      for (long second = 0; second < time.toSeconds(); second++) {
        missed = random.nextDouble() < loss ? missed + 1 : 0;
        wrong += missed == TIMEOUT_BEATS ? 1 : 0;
      }
    }
    return wrong;
  }
}
