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
 * Prints what the agreement costs for each node and second: messages and bytes sent, calls to the
 * store and processor time, with all nodes in this process over a store in memory.
 */
public final class AgreementCost {
  private static final int ORGANISATIONS = 350;
  private static final int[] SIZES = {3, 9, 30, 90};
  private static final Duration SETTLE = Duration.ofSeconds(25);
  private static final Duration MEASURE = Duration.ofSeconds(15);
  private static final int ADMISSIONS_PER_NODE = 10;

  private AgreementCost() {}

  /** Prints two rows for each size, given or {@link #SIZES}, idle and with admissions. */
  public static void main(String[] arguments) {
    System.out.println(
        "nodes | load | messages | bytes | reads | writes | % of a core | heap MB a node");
    int[] sizes = Arrays.stream(arguments).mapToInt(Integer::parseInt).toArray();
    for (int size : sizes.length == 0 ? SIZES : sizes) {
      try (AgreeFleet fleet = AgreeFleet.started(size, ORGANISATIONS)) {
        pause(SETTLE);
        measure(fleet, size, false);
        measure(fleet, size, true);
      }
    }
    System.exit(0);
  }

  private static void measure(AgreeFleet fleet, int size, boolean load) {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long messages = fleet.peers.messages.get();
    long bytes = fleet.peers.bytes.get();
    CallCounts before = fleet.store.counts();
    long cpu = system.getProcessCpuTime();
    Random random = new Random(1);
    long rounds = MEASURE.toMillis() / 100;
    for (long i = 0; i < rounds; i++) {
      pause(Duration.ofMillis(100));
      if (load) {
        admit(fleet, size, random);
      }
    }
    double share = 1.0 / size / MEASURE.toSeconds();
    CallCounts after = fleet.store.counts();
    long spent = system.getProcessCpuTime() - cpu;
    System.gc();
    long used = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    System.out.printf(
        Locale.ROOT,
        "%d | %s | %.1f | %.0f | %.2f | %.3f | %.3f | %.2f%n",
        size,
        load ? ADMISSIONS_PER_NODE + " admissions" : "idle",
        (fleet.peers.messages.get() - messages) * share,
        (fleet.peers.bytes.get() - bytes) * share,
        (after.reads() - before.reads()) * share,
        (after.writes() - before.writes()) * share,
        100 * spent / 1e9 * share,
        used / 1e6 / size);
  }

  private static void admit(AgreeFleet fleet, int size, Random random) {
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
