package org.waxwingcourse.load.plan;

import java.time.Duration;

/**
 * One scheduled request of a plan.
 *
 * @param scheduledAt send time, counted from the start of the run
 * @param organisation the organisation that sends the request
 * @param number index of the request among those of the organisation, from zero
 * @param prefix index of the organisation's prefix that the prompt starts with
 * @param streamed whether a streamed answer is requested
 */
public record Arrival(
    Duration scheduledAt, OrganisationLoad organisation, int number, int prefix, boolean streamed) {
  /** Returns the prompt of the request. */
  public String prompt() {
    return Prompts.promptOf(organisation, prefix, number);
  }
}
