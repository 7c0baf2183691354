package org.waxwingcourse.policy.rate;

import java.time.Duration;
import org.waxwingcourse.model.id.OrganisationId;

/** A message between hosts about lending tokens. Amounts are in billionths of a token. */
public sealed interface RateMessage {
  /** Returns the organisation to which the tokens belong. */
  OrganisationId organisation();

  /**
   * Requests a loan of tokens from a holder.
   *
   * @param id identifies the request in the grant
   * @param organisation the organisation to which the tokens belong
   * @param wanted the largest useful amount
   * @param spare whether to lend only tokens that are not reserved for online requests
   */
  record Ask(long id, OrganisationId organisation, long wanted, boolean spare)
      implements RateMessage {}

  /**
   * Grants a loan that has already been debited from the holder's bucket.
   *
   * @param ask identifier of the request
   * @param organisation the organisation to which the tokens belong
   * @param grant identifies the loan
   * @param amount the amount lent, zero if the loan is refused
   * @param valid how long the tokens may be spent; the borrower measures it from the time at which
   *     it sent its request, which precedes the grant
   * @param nextToken time until the holder expects to have a token again
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
   * Ends a loan. The borrower debits the unspent amount before it sends this message.
   *
   * @param organisation the organisation to which the tokens belong
   * @param grant identifies the loan
   * @param unspent the amount that is returned
   */
  record Return(OrganisationId organisation, long grant, long unspent) implements RateMessage {}
}
