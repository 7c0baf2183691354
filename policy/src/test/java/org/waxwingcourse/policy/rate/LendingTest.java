package org.waxwingcourse.policy.rate;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;

/** Checks that every loan is spent, returned or written off exactly once. */
class LendingTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final long TOKEN = TokenBucket.TOKEN;
  private static final OrganisationId ORGANISATION = OrganisationId.of("org");
  private static final HostId LENDER = HostId.of("h1");

  private final Lender lender = new Lender(START);

  LendingTest() {
    lender.takeOver(Share.of(Rate.of(10, 10), 0, 1), true, START);
  }

  @Test
  void bucketDoesNotRefillLentTokens() {
    assertThat(lender.lend(1, 8 * TOKEN, 0, START)).isEqualTo(8 * TOKEN);
    Instant later = START.plus(Lender.LOAN_VALIDITY);
    lender.tick(later);
    assertThat(lender.bucket().amount(later)).isEqualTo(2 * TOKEN);
  }

  @Test
  void duplicateReturnCountsOnceAndLateReturnIsIgnored() {
    lender.lend(1, 8 * TOKEN, 0, START);
    lender.settle(1, 8 * TOKEN, START);
    lender.settle(1, 8 * TOKEN, START);
    assertThat(lender.bucket().amount(START)).isEqualTo(10 * TOKEN);
    lender.lend(2, 10 * TOKEN, 0, START);
    Instant writtenOff = START.plus(Lender.WRITE_OFF_AFTER);
    lender.settle(2, 10 * TOKEN, writtenOff);
    assertThat(lender.bucket().amount(writtenOff)).isZero();
  }

  @Test
  void loanExpiresWhileTheBorrowerIsPaused() {
    List<RateMessage> sent = new ArrayList<>();
    BorrowedTokens borrowedTokens =
        new BorrowedTokens(ORGANISATION, (to, message) -> sent.add(message));
    Instant answered = START.plusMillis(400);
    RateMessage.Grant grant =
        new RateMessage.Grant(1, ORGANISATION, 7, TOKEN, Lender.LOAN_VALIDITY, Duration.ZERO);
    borrowedTokens.add(LENDER, grant, START, answered);
    assertThat(borrowedTokens.amount(START.plus(Lender.LOAN_VALIDITY).minusNanos(1)))
        .isEqualTo(TOKEN);
    assertThat(borrowedTokens.take(TOKEN, START.plus(Lender.LOAN_VALIDITY))).isZero();
    assertThat(sent).isEmpty();
  }

  @Test
  void smallerShareAppliesImmediatelyAndLargerOneAfterOlderRightsExpired() {
    Share small = Share.of(Rate.of(10, 10), 0, 2);
    Share large = Share.of(Rate.of(10, 10), 0, 1);
    lender.changeShare(small, START);
    assertThat(lender.bucket().share()).isEqualTo(small);
    lender.changeShare(large, START);
    lender.tick(START.plusMillis(4_199));
    assertThat(lender.bucket().share()).isEqualTo(small);
    lender.tick(START.plusMillis(4_200));
    assertThat(lender.bucket().share()).isEqualTo(large);
  }
}
