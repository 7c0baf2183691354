package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.WorkClass;

/**
 * Offers the same seeded requests to escrow with lending, to fixed shares and to a single owner per
 * organisation, and counts the rejected requests that a single token bucket would have admitted.
 */
final class RateComparison {
  static final int HOSTS = 9;
  static final int ORGANISATIONS = 8;
  static final Rate RATE = Rate.of(50, 25);
  private static final Duration WARM_UP = Duration.ofSeconds(30);
  private static final int TRACE_SECONDS = 300;
  private static final int HOST_LOST_AT_SECONDS = 100;
  private static final int HOST_BACK_AT_SECONDS = 160;
  private static final double LOAD_FACTOR = 0.6;
  private static final double OVERLOAD_FACTOR = 4;
  private static final int BUSY_HOST = 4;
  private static final int LOST_HOST = 2;
  private static final int BATCH_SPACING_MILLIS = 5;

  private RateComparison() {}

  /** Distributions of requests over hosts and organisations. */
  enum Trace {
    EVEN,
    ONE_BUSY_HOST,
    MOVING,
    ONE_OVER_ITS_RATE,
    HOST_LOST
  }

  /** Schemes for enforcing rates. */
  enum Scheme {
    ESCROW,
    FIXED_SHARES,
    SINGLE_OWNER
  }

  /**
   * Result of one scheme for a trace. In trace {@code ONE_OVER_ITS_RATE} the organisation over its
   * rate is not counted.
   *
   * @param inRate number of requests that a single token bucket admits
   * @param rejected number of these requests that were rejected
   * @param overrun number of requests by which the worst window of any organisation exceeds the
   *     bound
   * @param messages number of messages between hosts per offered request
   */
  record Result(int inRate, int rejected, double overrun, double messages) {
    double rejectedShare() {
      return (double) rejected / inRate;
    }
  }

  private record Request(long millis, int host, int organisation, boolean inRate) {}

  static Result run(Trace trace, Scheme scheme, long seed) {
    SimulatedRateFleet rates = newFleet(scheme, seed);
    rates.fleet.run(WARM_UP);
    int before = rates.fleet.messages;
    List<Request> requests = requests(trace, seed);
    int[] rejected = new int[1];
    int inRate = 0;
    Instant start = rates.fleet.clock.instant();
    boolean[] lost = new boolean[2];
    for (Request r : requests) {
      rates.fleet.run(Duration.between(rates.fleet.clock.instant(), start.plusMillis(r.millis())));
      if (trace == Trace.HOST_LOST) {
        stopAndRestartLostHost(rates, r.millis(), lost);
      }
      boolean counted = r.inRate() && !(trace == Trace.ONE_OVER_ITS_RATE && r.organisation() == 0);
      inRate += counted ? 1 : 0;
      rates.offer(r.host(), id(r.organisation()), () -> rejected[0] += counted ? 1 : 0);
    }
    double messages = (double) (rates.fleet.messages - before) / requests.size();
    rates.fleet.run(Duration.ofSeconds(2));
    double overrun = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < ORGANISATIONS; i++) {
      overrun = Math.max(overrun, rates.overrun(id(i), RATE));
    }
    return new Result(inRate, rejected[0], overrun, messages);
  }

  /**
   * Offers online requests at a fifth of the rate while batch work on one host requests as many
   * tokens as possible.
   */
  static Result runBesideBatch(int batchHost, long seed) {
    SimulatedRateFleet rates = newFleet(Scheme.ESCROW, seed);
    rates.fleet.run(WARM_UP);
    OrganisationId organisation = id(0);
    Random random = new Random(seed);
    int[] rejected = new int[1];
    int online = 0;
    int spacing = (int) (5 * 1_000 / RATE.perSecond());
    for (int millis = 0; millis < 20_000; millis += BATCH_SPACING_MILLIS) {
      rates.offer(batchHost, organisation, WorkClass.BATCH, () -> {});
      if (millis % spacing == 0) {
        online++;
        rates.offer(random.nextInt(HOSTS), organisation, () -> rejected[0]++);
      }
      rates.fleet.run(Duration.ofMillis(BATCH_SPACING_MILLIS));
    }
    rates.fleet.run(Duration.ofSeconds(2));
    return new Result(online, rejected[0], rates.overrun(organisation, RATE), 0);
  }

  private static void stopAndRestartLostHost(
      SimulatedRateFleet rates, long millis, boolean[] done) {
    SimulatedFleet fleet = rates.fleet;
    if (!done[0] && millis >= HOST_LOST_AT_SECONDS * 1_000L) {
      done[0] = true;
      SimulatedFleet.Host host = fleet.hosts.get(LOST_HOST);
      host.stopped = true;
      fleet.schedule(5_000, () -> fleet.hosts.forEach(h -> h.deadHosts.add(host.id)));
    }
    if (!done[1] && millis >= HOST_BACK_AT_SECONDS * 1_000L) {
      done[1] = true;
      fleet.hosts.forEach(h -> h.deadHosts.clear());
      rates.restart(LOST_HOST);
    }
  }

  private static SimulatedRateFleet newFleet(Scheme scheme, long seed) {
    String[] declared = new String[ORGANISATIONS];
    for (int i = 0; i < ORGANISATIONS; i++) {
      declared[i] = id(i) + ":" + RATE.perSecond() + ":" + RATE.burst();
    }
    return switch (scheme) {
      case ESCROW -> SimulatedRateFleet.withLending(HOSTS, seed, declared);
      case FIXED_SHARES -> new SimulatedRateFleet(HOSTS, seed, HOSTS, false, declared);
      case SINGLE_OWNER -> new SimulatedRateFleet(HOSTS, seed, 1, true, declared);
    };
  }

  private static List<Request> requests(Trace trace, long seed) {
    Random random = new Random(seed);
    List<Request> all = new ArrayList<>();
    for (int o = 0; o < ORGANISATIONS; o++) {
      double perSecond =
          RATE.perSecond()
              * (trace == Trace.ONE_OVER_ITS_RATE && o == 0 ? OVERLOAD_FACTOR : LOAD_FACTOR);
      double tokens = RATE.burst();
      double last = 0;
      for (double t = nextInterval(random, perSecond);
          t < TRACE_SECONDS;
          t += nextInterval(random, perSecond)) {
        tokens = Math.min(RATE.burst(), tokens + (t - last) * RATE.perSecond());
        last = t;
        boolean inRate = tokens >= 1;
        tokens -= inRate ? 1 : 0;
        all.add(new Request((long) (t * 1_000), host(trace, o, t, random), o, inRate));
      }
    }
    all.sort(Comparator.comparingLong(Request::millis));
    return all;
  }

  private static double nextInterval(Random random, double perSecond) {
    return -Math.log(1 - random.nextDouble()) / perSecond;
  }

  private static int host(Trace trace, int organisation, double t, Random random) {
    int any = random.nextInt(HOSTS);
    return switch (trace) {
      case EVEN, ONE_OVER_ITS_RATE -> any;
      case ONE_BUSY_HOST -> BUSY_HOST;
      case MOVING -> (organisation + (int) (t / 5)) % HOSTS;
      case HOST_LOST ->
          any == LOST_HOST && t >= HOST_LOST_AT_SECONDS && t < HOST_BACK_AT_SECONDS
              ? BUSY_HOST
              : any;
    };
  }

  private static OrganisationId id(int number) {
    return OrganisationId.of("org" + number);
  }

  /** Prints the table of docs/design/rates.md. */
  public static void main(String[] arguments) {
    System.out.println("trace | scheme | in rate | wrongly rejected | worst overrun | messages");
    for (Trace trace : Trace.values()) {
      long seed = 11L + trace.ordinal();
      for (Scheme scheme : Scheme.values()) {
        Result r = run(trace, scheme, seed);
        System.out.printf(
            Locale.ROOT,
            "%s | %s | %d | %d (%.3f %%) | %.1f | %.2f%n",
            trace,
            scheme,
            r.inRate(),
            r.rejected(),
            100 * r.rejectedShare(),
            r.overrun(),
            r.messages());
      }
    }
  }
}
