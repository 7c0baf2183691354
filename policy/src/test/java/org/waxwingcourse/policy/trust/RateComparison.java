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
 * Offers the same seeded requests to the chosen way, to fixed shares and to one owner for each
 * organisation, and counts those refused though a single token bucket would have admitted them.
 */
final class RateComparison {
  static final int HOSTS = 9;
  static final int ORGANISATIONS = 8;
  static final Rate RATE = Rate.of(50, 25);
  private static final Duration WARM_UP = Duration.ofSeconds(30);
  private static final int SECONDS = 300;
  private static final int LOST_AT = 100;
  private static final int BACK_AT = 160;
  private static final double LOAD = 0.6;
  private static final double OVERLOAD = 4;
  private static final int BUSY = 4;
  private static final int LOST = 2;
  private static final int BATCH_SPACING_MILLIS = 5;

  private RateComparison() {}

  /** How requests are spread over hosts and organisations. */
  enum Trace {
    EVEN,
    ONE_BUSY_HOST,
    MOVING,
    ONE_OVER_ITS_RATE,
    HOST_LOST
  }

  /** How rates are held. */
  enum Way {
    CHOSEN,
    FIXED_SHARES,
    ONE_OWNER
  }

  /**
   * What one way made of a trace. The organisation over its rate is counted apart.
   *
   * @param inRate requests that a single bucket admits
   * @param refused those of them that were refused
   * @param overrun requests over the bound in the worst window of any organisation
   * @param messages sent between hosts, for each request offered
   */
  record Result(int inRate, int refused, double overrun, double messages) {
    double share() {
      return (double) refused / inRate;
    }
  }

  private record Request(long millis, int host, int organisation, boolean inRate) {}

  static Result run(Trace trace, Way way, long seed) {
    RateFleet rates = fleet(way, seed);
    rates.fleet.run(WARM_UP);
    int before = rates.fleet.messages;
    List<Request> requests = requests(trace, seed);
    int[] refused = new int[1];
    int inRate = 0;
    Instant start = rates.fleet.clock.instant();
    boolean[] lost = new boolean[2];
    for (Request r : requests) {
      rates.fleet.run(Duration.between(rates.fleet.clock.instant(), start.plusMillis(r.millis())));
      if (trace == Trace.HOST_LOST) {
        loseAndReturn(rates, r.millis(), lost);
      }
      boolean counted = r.inRate() && !(trace == Trace.ONE_OVER_ITS_RATE && r.organisation() == 0);
      inRate += counted ? 1 : 0;
      rates.offer(r.host(), id(r.organisation()), () -> refused[0] += counted ? 1 : 0);
    }
    double messages = (double) (rates.fleet.messages - before) / requests.size();
    rates.fleet.run(Duration.ofSeconds(2));
    double overrun = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < ORGANISATIONS; i++) {
      overrun = Math.max(overrun, rates.overrun(id(i), RATE));
    }
    return new Result(inRate, refused[0], overrun, messages);
  }

  /** Offers a fifth of the rate online while one host's batch work asks for all it can get. */
  static Result runBesideBatch(int batchHost, long seed) {
    RateFleet rates = fleet(Way.CHOSEN, seed);
    rates.fleet.run(WARM_UP);
    OrganisationId organisation = id(0);
    Random random = new Random(seed);
    int[] refused = new int[1];
    int online = 0;
    int spacing = (int) (5 * 1_000 / RATE.perSecond());
    for (int millis = 0; millis < 20_000; millis += BATCH_SPACING_MILLIS) {
      rates.offer(batchHost, organisation, WorkClass.BATCH, () -> {});
      if (millis % spacing == 0) {
        online++;
        rates.offer(random.nextInt(HOSTS), organisation, () -> refused[0]++);
      }
      rates.fleet.run(Duration.ofMillis(BATCH_SPACING_MILLIS));
    }
    rates.fleet.run(Duration.ofSeconds(2));
    return new Result(online, refused[0], rates.overrun(organisation, RATE), 0);
  }

  private static void loseAndReturn(RateFleet rates, long millis, boolean[] done) {
    TrustFleet fleet = rates.fleet;
    if (!done[0] && millis >= LOST_AT * 1_000L) {
      done[0] = true;
      TrustFleet.Host host = fleet.hosts.get(LOST);
      host.stopped = true;
      fleet.later(5_000, () -> fleet.hosts.forEach(h -> h.dead.add(host.id)));
    }
    if (!done[1] && millis >= BACK_AT * 1_000L) {
      done[1] = true;
      fleet.hosts.forEach(h -> h.dead.clear());
      rates.restart(LOST);
    }
  }

  private static RateFleet fleet(Way way, long seed) {
    String[] declared = new String[ORGANISATIONS];
    for (int i = 0; i < ORGANISATIONS; i++) {
      declared[i] = id(i) + ":" + RATE.perSecond() + ":" + RATE.burst();
    }
    return switch (way) {
      case CHOSEN -> RateFleet.chosen(HOSTS, seed, declared);
      case FIXED_SHARES -> new RateFleet(HOSTS, seed, HOSTS, false, declared);
      case ONE_OWNER -> new RateFleet(HOSTS, seed, 1, true, declared);
    };
  }

  private static List<Request> requests(Trace trace, long seed) {
    Random random = new Random(seed);
    List<Request> all = new ArrayList<>();
    for (int o = 0; o < ORGANISATIONS; o++) {
      double perSecond =
          RATE.perSecond() * (trace == Trace.ONE_OVER_ITS_RATE && o == 0 ? OVERLOAD : LOAD);
      double tokens = RATE.burst();
      double last = 0;
      for (double t = next(random, perSecond); t < SECONDS; t += next(random, perSecond)) {
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

  private static double next(Random random, double perSecond) {
    return -Math.log(1 - random.nextDouble()) / perSecond;
  }

  private static int host(Trace trace, int organisation, double t, Random random) {
    int any = random.nextInt(HOSTS);
    return switch (trace) {
      case EVEN, ONE_OVER_ITS_RATE -> any;
      case ONE_BUSY_HOST -> BUSY;
      case MOVING -> (organisation + (int) (t / 5)) % HOSTS;
      case HOST_LOST -> any == LOST && t >= LOST_AT && t < BACK_AT ? BUSY : any;
    };
  }

  private static OrganisationId id(int number) {
    return OrganisationId.of("org" + number);
  }

  /** Prints the table of docs/design/rates.md. */
  public static void main(String[] arguments) {
    System.out.println("trace | way | in rate | wrongly refused | worst overrun | messages");
    for (Trace trace : Trace.values()) {
      long seed = 11L + trace.ordinal();
      for (Way way : Way.values()) {
        Result r = run(trace, way, seed);
        System.out.printf(
            Locale.ROOT,
            "%s | %s | %d | %d (%.3f %%) | %.1f | %.2f%n",
            trace,
            way,
            r.inRate(),
            r.refused(),
            100 * r.share(),
            r.overrun(),
            r.messages());
      }
    }
  }
}
