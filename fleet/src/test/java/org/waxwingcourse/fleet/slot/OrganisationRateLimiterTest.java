package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.policy.rate.TokenBucket;

class OrganisationRateLimiterTest {
  private static final OrganisationId ID = OrganisationId.of("parish");
  private static final Instant START = Instant.ofEpochSecond(1000);

  private static OrganisationTable table(double rate, double burst) {
    return OrganisationTable.of(
        List.of(new OrganisationPlan(ID, Set.of("key"), rate, burst, Option.none())));
  }

  private static OrganisationRateLimiter rates(double rate, double burst, double fleetShare) {
    OrganisationRateLimiter rates = new OrganisationRateLimiter(OrganisationTable.of(List.of()));
    rates.update(table(rate, burst), fleetShare, START);
    return rates;
  }

  private static int admitted(OrganisationRateLimiter rates, Instant from, Duration span) {
    int admitted = 0;
    for (long ms = 0; ms < span.toMillis(); ms++) {
      admitted += rates.acquireToken(ID, Duration.ZERO, from.plusMillis(ms)).isZero() ? 1 : 0;
    }
    return admitted;
  }

  @Test
  void bucketStartsNearlyEmptyAndFillsBeforeTheFirstRequest() {
    OrganisationRateLimiter rates = rates(20, 40, 1);
    assertThat(admitted(rates, START, Duration.ofMillis(20))).isEqualTo(8);
    assertThat(admitted(rates, START.plusSeconds(10), Duration.ofMillis(100))).isEqualTo(41);
  }

  @Test
  void hostsThatAttachOneByOneAddTheirShareOfTheInitialTokensOnce() {
    OrganisationRateLimiter rates = rates(20, 40, 1 / 9.0);
    for (int hosts = 2; hosts <= 9; hosts++) {
      rates.update(table(20, 40), hosts / 9.0, START);
    }
    rates.update(table(20, 40), 5 / 9.0, START);
    rates.update(table(20, 40), 1, START);
    assertThat(admitted(rates, START, Duration.ofMillis(20))).isBetween(7, 8);
  }

  @Test
  void restartOfAllHostsStaysWithinTheToleranceBeyondTheRate() {
    int before = admitted(rates(20, 40, 1), START.plusSeconds(15), Duration.ofSeconds(3));
    int after = admitted(rates(20, 40, 1), START, Duration.ofSeconds(2));
    assertThat(before + after).isLessThanOrEqualTo((int) ((20 * 5 + 40) * 1.1 + 20));
  }

  @Test
  void requestsWaitForTheirTokensInOrderOfArrival() {
    OrganisationRateLimiter rates = rates(10, 10, 1);
    Instant now = START.plusSeconds(15);
    admitted(rates, now, Duration.ofMillis(10));
    Duration patience = Duration.ofMillis(250);
    Duration first = rates.acquireToken(ID, patience, now.plusMillis(10));
    Duration second = rates.acquireToken(ID, patience, now.plusMillis(10));
    assertThat(first).isBetween(Duration.ofMillis(80), Duration.ofMillis(100));
    assertThat(second.minus(first)).isEqualTo(Duration.ofMillis(100));
    assertThat(rates.acquireToken(ID, patience, now.plusMillis(10))).isGreaterThan(patience);
    assertThat(rates.acquireToken(ID, patience, now.plusMillis(10)))
        .isEqualTo(Duration.ofMillis(290));
  }

  @Test
  void anyWindowAdmitsAtMostRateAndBurst() {
    OrganisationRateLimiter rates = rates(20, 40, 1);
    int admitted = admitted(rates, START.plusSeconds(15), Duration.ofSeconds(5));
    assertThat(admitted).isBetween(139, 140);
  }

  @Test
  void coordinatorsOfFleetSharesTogetherKeepTheRate() {
    int admittedTotal = 0;
    for (double fleetShare : List.of(4 / 9.0, 5 / 9.0)) {
      admittedTotal +=
          admitted(rates(20, 40, fleetShare), START.plusSeconds(15), Duration.ofSeconds(5));
    }
    assertThat(admittedTotal).isLessThanOrEqualTo(140);
  }

  @Test
  void newCoordinatorContinuesFromTheReportedLevels() {
    OrganisationRateLimiter rates = rates(20, 40, 1);
    rates.restoreLevels(Map.of(ID, 10 * TokenBucket.TOKEN));
    rates.update(table(20, 40), 1, START);
    assertThat(admitted(rates, START, Duration.ofMillis(20))).isEqualTo(10);
  }

  @Test
  void tokenOfARequestThatWasNotRunIsReturned() {
    OrganisationRateLimiter rates = rates(1, 1, 1);
    Instant later = START.plusSeconds(5);
    assertThat(rates.acquireToken(ID, Duration.ZERO, later)).isZero();
    rates.returnToken(ID, later);
    assertThat(rates.acquireToken(ID, Duration.ZERO, later)).isZero();
  }

  @Test
  void smallShareOfASmallBurstStillAdmitsOneRequest() {
    OrganisationRateLimiter rates = rates(9, 3, 1 / 9.0);
    assertThat(rates.acquireToken(ID, Duration.ZERO, START.plusSeconds(5))).isZero();
  }

  /** Load pattern: all hosts restart, and the first of them get the traffic of all. */
  @Test
  void callersReturnWhenTheHostsThatStartHaveAttached() {
    OrganisationRateLimiter rates = rates(1, 4, 1 / 80.0);
    Instant now = START.plusMillis(200);
    rates.acquireToken(ID, Duration.ZERO, now);
    Duration wait = rates.acquireToken(ID, Duration.ZERO, now);
    assertThat(wait).isGreaterThan(Duration.ofSeconds(9));
    assertThat(rates.returnTime(wait, now)).isEqualTo(now.plusSeconds(1));
  }

  @Test
  void callersOfAPartOfTheFleetThatStaysAPartReturnAtItsRate() {
    OrganisationRateLimiter rates = rates(1, 4, 1 / 2.0);
    Instant now = START.plusSeconds(2);
    rates.acquireToken(ID, Duration.ZERO, now);
    rates.acquireToken(ID, Duration.ZERO, now);
    Duration wait = rates.acquireToken(ID, Duration.ZERO, now);
    assertThat(rates.returnTime(wait, now)).isEqualTo(now.plus(wait));
  }
}
