package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Supplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.model.request.WorkClass;

/**
 * Compares the number of requests that start in time under several service orders for the same
 * arrivals: first come first served, earliest deadline first, round robin between organisations
 * (deficit round robin where all requests are of one size), each without refusals, and {@link
 * SlotScheduler}.
 */
class ServiceOrderComparisonTest {
  private static final int ENGINES = 6;
  private static final int SLOTS = 8;
  private static final int ORGANISATIONS = 8;
  private static final Duration SPAN = Duration.ofSeconds(20);

  /** Waiting time allowed to half of all requests; the others may wait for less. */
  private static final Duration RELAXED = Duration.ofMillis(800);

  /** A request with its arrival time and latest start, in seconds, and its organisation. */
  private record Arrival(double at, double startBy, int organisation) {}

  /** A queue of waiting requests with a service order. */
  private interface Queue {
    void add(Arrival arrival);

    /** Removes and returns the next request, null if none waits. */
    Arrival poll();
  }

  private static List<Arrival> arrivals(double rate, long seed) {
    Random random = new Random(seed);
    List<Arrival> all = new ArrayList<>();
    double end = SPAN.toMillis() / 1000.0;
    for (double at = next(random, 0, rate); at < end; at = next(random, at, rate)) {
      Duration wait = random.nextBoolean() ? RELAXED : SlotSimulation.OBJECTIVE_WAIT;
      boolean fromFirstOrganisation = random.nextDouble() < 0.5;
      int organisation = fromFirstOrganisation ? 0 : random.nextInt(ORGANISATIONS);
      all.add(new Arrival(at, at + wait.toMillis() / 1000.0, organisation));
    }
    return all;
  }

  private static double next(Random random, double at, double rate) {
    return at - Math.log(1 - random.nextDouble()) / rate;
  }

  private static int countStartedInTime(List<Arrival> arrivals, Queue queue) {
    PriorityQueue<Double> slotFreeTimes = new PriorityQueue<>();
    for (int i = 0; i < ENGINES * SLOTS; i++) {
      slotFreeTimes.add(0.0);
    }
    double run = SlotSimulation.ONLINE_RUN.toMillis() / 1000.0;
    int inTime = 0;
    int arrived = 0;
    Arrival nextInLine = null;
    while (arrived < arrivals.size()) {
      double slotAt = slotFreeTimes.peek();
      while (arrived < arrivals.size()
          && (nextInLine == null || arrivals.get(arrived).at() <= slotAt)) {
        queue.add(arrivals.get(arrived++));
        nextInLine = nextInLine == null ? queue.poll() : nextInLine;
      }
      queue.add(nextInLine);
      nextInLine = queue.poll();
      double start = Math.max(slotFreeTimes.poll(), nextInLine.at());
      inTime += start <= nextInLine.startBy() ? 1 : 0;
      slotFreeTimes.add(start + run);
      nextInLine = queue.poll();
    }
    return inTime;
  }

  private static Queue sorted(Comparator<Arrival> order) {
    PriorityQueue<Arrival> waiting = new PriorityQueue<>(order);
    return queue(waiting::add, waiting::poll);
  }

  private static Queue roundRobin() {
    List<Deque<Arrival>> queues = new ArrayList<>();
    for (int i = 0; i < ORGANISATIONS; i++) {
      queues.add(new ArrayDeque<>());
    }
    int[] lastServed = {0};
    return queue(
        a -> queues.get(a.organisation()).add(a),
        () -> {
          for (int i = 0; i < ORGANISATIONS; i++) {
            lastServed[0] = (lastServed[0] + 1) % ORGANISATIONS;
            if (!queues.get(lastServed[0]).isEmpty()) {
              return queues.get(lastServed[0]).poll();
            }
          }
          return null;
        });
  }

  private static Queue queue(java.util.function.Consumer<Arrival> add, Supplier<Arrival> poll) {
    return new Queue() {
      @Override
      public void add(Arrival arrival) {
        if (arrival != null) {
          add.accept(arrival);
        }
      }

      @Override
      public Arrival poll() {
        return poll.get();
      }
    };
  }

  private static int countStartedInTimeByScheduler(List<Arrival> arrivals) {
    SlotSimulation s = new SlotSimulation(ENGINES, SLOTS, 0);
    for (Arrival a : arrivals) {
      Duration wait = Duration.ofNanos((long) ((a.startBy() - a.at()) * 1e9));
      s.schedule(Duration.ofNanos((long) (a.at() * 1e9)), () -> s.submit(WorkClass.ONLINE, wait));
    }
    s.run(SPAN.plusSeconds(2));
    return s.startedInTime;
  }

  @ParameterizedTest
  @CsvSource({"60, 0", "75, 0", "75, 1", "90, 0", "134, 0", "134, 1"})
  void schedulerStartsAtLeast98PercentAsManyInTimeAsAnyOtherOrder(double rate, long seed) {
    List<Arrival> arrivals = arrivals(rate, seed);
    int firstComeFirstServed =
        countStartedInTime(arrivals, sorted(Comparator.comparingDouble(Arrival::at)));
    int earliestDeadlineFirst =
        countStartedInTime(arrivals, sorted(Comparator.comparingDouble(Arrival::startBy)));
    int roundRobin = countStartedInTime(arrivals, roundRobin());
    int scheduler = countStartedInTimeByScheduler(arrivals);
    System.out.printf(
        "%.0f a second, %d requests: first come %d, earliest deadline %d, round robin %d, scheduler"
            + " %d in time%n",
        rate, arrivals.size(), firstComeFirstServed, earliestDeadlineFirst, roundRobin, scheduler);
    assertThat(scheduler)
        .isGreaterThanOrEqualTo(
            (int) (0.98 * Math.max(firstComeFirstServed, earliestDeadlineFirst)));
    assertThat(scheduler).isGreaterThanOrEqualTo((int) (0.98 * roundRobin));
  }
}
