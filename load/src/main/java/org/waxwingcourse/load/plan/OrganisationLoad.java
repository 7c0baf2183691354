package org.waxwingcourse.load.plan;

/**
 * What one organisation sends.
 *
 * @param name the organisation
 * @param key its key
 * @param offeredPerSecond mean of the Poisson arrivals, requests a second
 * @param ratePerSecond the rate it is entitled to, requests a second
 * @param burst the burst it is entitled to, requests
 * @param promptTokens words in a prompt
 * @param sharedTokens words at the start that prompts of one prefix share
 * @param prefixes number of different prefixes
 * @param outputTokens tokens asked for
 * @param streamedShare share of the requests that are streamed, from zero to one
 */
public record OrganisationLoad(
    String name,
    String key,
    double offeredPerSecond,
    double ratePerSecond,
    int burst,
    int promptTokens,
    int sharedTokens,
    int prefixes,
    int outputTokens,
    double streamedShare) {
  @Override
  public String toString() {
    return "OrganisationLoad[" + name + ", " + offeredPerSecond + " a second]";
  }
}
