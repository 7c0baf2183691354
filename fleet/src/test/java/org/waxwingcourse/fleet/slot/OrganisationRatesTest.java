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

class OrganisationRatesTest {
  private static final OrganisationId ID = OrganisationId.of("parish");
  private static final Instant START = Instant.ofEpochSecond(1000);

  private static OrganisationTable table(double rate, double burst) {
    return OrganisationTable.of(
        List.of(new OrganisationPlan(ID, Set.of("key"), rate, burst, Option.none())));
  }

  private static OrganisationRates rates(double rate, double burst, double part) {
    OrganisationRates rates = new OrganisationRates(OrganisationTable.of(List.of()));
    rates.resize(table(rate, burst), part, START);
    return rates;
  }

  private static int admitted(OrganisationRates rates, Instant from, Duration span) {
    int admitted = 0;
    for (long ms = 0; ms < span.toMillis(); ms++) {
      admitted += rates.take(ID, from.plusMillis(ms)).isZero() ? 1 : 0;
    }
    return admitted;
  }

  @Test
  void aBucketBeginsEmptyAndFillsBeforeTheFirstRequest() {
    OrganisationRates rates = rates(20, 40, 1);
    assertThat(rates.take(ID, START)).isPositive();
    assertThat(admitted(rates, START.plusSeconds(10), Duration.ofMillis(1))).isEqualTo(1);
    assertThat(rates.levels(START.plusSeconds(10))).containsKey(ID);
  }

  @Test
  void anyWindowHoldsRateAndBurst() {
    OrganisationRates rates = rates(20, 40, 1);
    int admitted = admitted(rates, START.plusSeconds(15), Duration.ofSeconds(5));
    assertThat(admitted).isBetween(139, 140);
  }

  @Test
  void coordinatorsOfPartsTogetherKeepTheRate() {
    int together = 0;
    for (double part : List.of(4 / 9.0, 5 / 9.0)) {
      together += admitted(rates(20, 40, part), START.plusSeconds(15), Duration.ofSeconds(5));
    }
    assertThat(together).isLessThanOrEqualTo(140);
  }

  @Test
  void aSuccessorGoesOnFromTheLevelsThatItWasTold() {
    OrganisationRates rates = rates(20, 40, 1);
    rates.inherit(Map.of(ID, 10 * TokenBucket.TOKEN));
    rates.resize(table(20, 40), 1, START);
    assertThat(admitted(rates, START, Duration.ofMillis(20))).isEqualTo(10);
  }

  @Test
  void whatWasNotRunIsGivenBack() {
    OrganisationRates rates = rates(1, 1, 1);
    Instant later = START.plusSeconds(5);
    assertThat(rates.take(ID, later)).isZero();
    rates.giveBack(ID, later);
    assertThat(rates.take(ID, later)).isZero();
  }

  @Test
  void aSmallPartOfASmallBurstStillAdmits() {
    OrganisationRates rates = rates(9, 3, 1 / 9.0);
    assertThat(rates.take(ID, START.plusSeconds(5))).isZero();
  }
}
