package org.waxwingcourse.load.plan;

/**
 * The load that one organisation sends.
 *
 * @param name name of the organisation
 * @param key API key of the organisation
 * @param offeredPerSecond mean rate of the Poisson arrivals, requests per second
 * @param ratePerSecond rate limit of the organisation, requests per second
 * @param burst burst limit of the organisation, requests
 * @param promptTokens number of words in a prompt
 * @param sharedTokens number of words at the start of a prompt that all prompts of one prefix share
 * @param prefixes number of different prefixes
 * @param outputTokens number of tokens requested for an answer
 * @param streamedShare fraction of the requests that ask for a streamed answer, from 0 to 1
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
