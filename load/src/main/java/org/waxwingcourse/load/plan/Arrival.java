package org.waxwingcourse.load.plan;

import java.time.Duration;

/**
 * One request of a plan.
 *
 * @param at when it arrives, counted from the start of the run
 * @param organisation who sends it
 * @param number counts the organisation's requests from zero
 * @param prefix which of the organisation's prefixes its prompt begins with
 * @param streamed whether the answer is to be streamed
 */
public record Arrival(
    Duration at, OrganisationLoad organisation, int number, int prefix, boolean streamed) {
  /** Returns what it asks. */
  public String prompt() {
    return Prompts.of(organisation, prefix, number);
  }
}
