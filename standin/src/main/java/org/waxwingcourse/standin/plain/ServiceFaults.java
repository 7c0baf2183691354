package org.waxwingcourse.standin.plain;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults of a plain service, as in the body of {@code POST /control/faults}; an absent field is
 * no fault.
 *
 * @param delayMillis added before each answer
 * @param resetBefore the next calls whose connection is reset before they run
 * @param resetAfter the next calls whose connection is reset after they have run
 * @param loseAnswers the next calls that run and are never answered
 * @param frozen whether nothing runs and nothing is answered
 * @param status answered to each call in place of running it, zero for no fault
 */
public record ServiceFaults(
    @JsonProperty("delay_ms") long delayMillis,
    int resetBefore,
    int resetAfter,
    int loseAnswers,
    boolean frozen,
    int status) {
  /** No fault. */
  public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0, false, 0);
}
