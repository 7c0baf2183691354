package org.waxwingcourse.policy.rate;

import java.time.Duration;
import org.waxwingcourse.model.id.OrganisationId;

/** What hosts tell each other about tokens. Amounts are billionths of a token. */
public sealed interface RateMessage {
  /** Returns whose tokens. */
  OrganisationId organisation();

  /**
   * Asks a holder for tokens.
   *
   * @param id matches the grant with its ask
   * @param organisation whose tokens
   * @param wanted the most that is of use
   * @param spare whether to lend only what online requests can spare
   */
  record Ask(long id, OrganisationId organisation, long wanted, boolean spare)
      implements RateMessage {}

  /**
   * Lends tokens, already debited from the holder's bucket.
   *
   * @param ask the ask
   * @param organisation whose tokens
   * @param grant identifies the loan
   * @param amount what is lent, zero for a refusal
   * @param valid how long after the grant the tokens may be spent; the borrower counts it from when
   *     it sent the ask, which is earlier
   * @param nextToken when the holder expects to hold a token again
   */
  record Grant(
      long ask,
      OrganisationId organisation,
      long grant,
      long amount,
      Duration valid,
      Duration nextToken)
      implements RateMessage {}

  /**
   * Ends a loan. The borrower has debited the unspent amount before it sends this.
   *
   * @param organisation whose tokens
   * @param grant the loan
   * @param unspent what goes back
   */
  record Return(OrganisationId organisation, long grant, long unspent) implements RateMessage {}
}
