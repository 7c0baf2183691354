package org.waxwingcourse.node.agree;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.standin.store.CallCounts;

/**
 * Prints the cost of the agreement per node and second: messages and bytes sent, calls to the store
 * and processor time, with all nodes in this process over an in-memory store.
 */
public final class AgreementCost {
  private static final int ORGANISATIONS = 350;
  private static final int[] SIZES = {3, 9, 30, 90};
  private static final Duration SETTLING_TIME = Duration.ofSeconds(25);
  private static final Duration MEASURING_TIME = Duration.ofSeconds(15);
  private static final int ADMISSIONS_PER_NODE = 10;

  private AgreementCost() {}

  /**
   * Prints two rows for each fleet size, idle and with admissions; the arguments are the sizes, by
   * default {@link #SIZES}.
   */
  public static void main(String[] arguments) {
    System.out.println(
        "nodes | load | messages | bytes | reads | writes | % of a core | heap MB per node");
    int[] sizes = Arrays.stream(arguments).mapToInt(Integer::parseInt).toArray();
    for (int size : sizes.length == 0 ? SIZES : sizes) {
      try (AgreementFleet fleet = AgreementFleet.startFleet(size, ORGANISATIONS)) {
        pause(SETTLING_TIME);
        measure(fleet, size, false);
        measure(fleet, size, true);
      }
    }
    System.exit(0);
  }

  private static void measure(AgreementFleet fleet, int size, boolean load) {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long messages = fleet.peers.messages.get();
    long bytes = fleet.peers.bytes.get();
    CallCounts before = fleet.store.counts();
    long cpu = system.getProcessCpuTime();
    Random random = new Random(1);
    long rounds = MEASURING_TIME.toMillis() / 100;
    for (long i = 0; i < rounds; i++) {
      pause(Duration.ofMillis(100));
      if (load) {
        admit(fleet, size, random);
      }
    }
    double perNodeAndSecond = 1.0 / size / MEASURING_TIME.toSeconds();
    CallCounts after = fleet.store.counts();
    long spent = system.getProcessCpuTime() - cpu;
    System.gc();
    long used = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    System.out.printf(
        Locale.ROOT,
        "%d | %s | %.1f | %.0f | %.2f | %.3f | %.3f | %.2f%n",
        size,
        load ? ADMISSIONS_PER_NODE + " admissions" : "idle",
        (fleet.peers.messages.get() - messages) * perNodeAndSecond,
        (fleet.peers.bytes.get() - bytes) * perNodeAndSecond,
        (after.reads() - before.reads()) * perNodeAndSecond,
        (after.writes() - before.writes()) * perNodeAndSecond,
        100 * spent / 1e9 * perNodeAndSecond,
        used / 1e6 / size);
  }

  private static void admit(AgreementFleet fleet, int size, Random random) {
    for (int node = 0; node < size; node++) {
      OrganisationId id = OrganisationId.of("org-" + random.nextInt(ORGANISATIONS));
      fleet
          .nodes
          .get(node)
          .admission()
          .admit(id, WorkClass.ONLINE, Deadline.after(fleet.clock, Duration.ofSeconds(1)));
    }
  }

  private static void pause(Duration time) {
    LockSupport.parkNanos(time.toNanos());
  }
}
